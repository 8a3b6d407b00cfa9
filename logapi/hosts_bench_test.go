package logapi

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
)

// BenchmarkHostList reports the encoded size and the decoding time for each host in a list of 1,000 hosts.
func BenchmarkHostList(b *testing.B) {
	const hosts = 1000
	var list HostListReply
	for i := range hosts {
		list.Hosts = append(list.Hosts, Host{
			ID: fmt.Sprintf("worker-%05d", i), Kind: KindWorker, Address: fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250),
			Identity: fmt.Sprintf("%016x", i), Zone: "zone-17", Group: "estimate", State: HostLive,
			Cores: 64, MemoryMB: 131072, Accelerators: 1, Rack: fmt.Sprintf("rack-%03d", i/8),
		})
	}
	encoded, err := json.Marshal(list)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		var decoded HostListReply
		if err := decodeReply(bytes.NewReader(encoded), &decoded); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(encoded))/hosts, "B/host")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/hosts, "ns/host")
}
