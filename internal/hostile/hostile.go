// Package hostile draws values for property tests that no sound process sends: callers, other writers of
// the store and broken hosts may.
package hostile

import (
	"strings"

	"pgregory.net/rapid"

	"sesameledge.dev/sesameledge/mesh/meshpb"
)

// Text draws strings that callers and other writers may send: not UTF-8, long, or with characters
// that encoders treat specially.
func Text() *rapid.Generator[string] {
	return rapid.OneOf(
		rapid.SampledFrom([]string{"", "\xff\xfe0", "a\x00b", "\ufffd", "\xed\xa0\x80", "north:1/3", "\r\n"}),
		rapid.Map(rapid.SliceOfN(rapid.Byte(), 0, 40), func(b []byte) string { return string(b) }),
		rapid.Map(rapid.SampledFrom([]int{1 << 10, 64 << 10, 1 << 20, 3 << 20, 5 << 20}), func(n int) string { return strings.Repeat("x", n) }),
	)
}

// Number draws numbers at the bounds of their types, and others.
func Number() *rapid.Generator[int64] {
	return rapid.OneOf(rapid.SampledFrom([]int64{0, 1, -1, 1 << 53, -1 << 63, 1<<63 - 1}), rapid.Int64())
}

// Message draws a message of any kind.
func Message(t *rapid.T) *meshpb.Message {
	text := func(label string) string { return Text().Draw(t, label) }
	number := func(label string) int64 { return Number().Draw(t, label) }
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		return &meshpb.Message{Kind: &meshpb.Message_Submit{Submit: &meshpb.Submit{
			Seq: uint64(number("seq")), Cell: text("cell"), JobId: text("job"), RequestId: text("request"), Payload: text("payload"), Tasks: int32(number("tasks")),
			Cpu: number("cpu"), Rack: text("rack"), Label: text("label"), Route: &meshpb.Route{Name: text("route"), SlackFactor: rapid.Float64().Draw(t, "slack")},
		}}}
	case 1:
		return &meshpb.Message{Kind: &meshpb.Message_Cancel{Cancel: &meshpb.Cancel{Seq: uint64(number("seq"))}}}
	case 2:
		return &meshpb.Message{Kind: &meshpb.Message_Outcome{Outcome: &meshpb.Outcome{Outcome: int32(number("outcome")), Reason: text("reason")}}}
	case 3:
		return &meshpb.Message{Kind: &meshpb.Message_Config{Config: &meshpb.Config{Version: number("version"), Record: []byte(text("record"))}}}
	case 4:
		return &meshpb.Message{Kind: &meshpb.Message_Workers{Workers: &meshpb.Workers{Workers: []*meshpb.Worker{{Id: text("id"), Record: []byte(text("record")), Offset: number("offset")}, nil}}}}
	case 5:
		return &meshpb.Message{Kind: &meshpb.Message_Hosts{Hosts: &meshpb.Hosts{Hosts: []*meshpb.Host{{Name: text("name"), Zone: text("zone"), Addr: text("addr"), Weight: number("weight")}}}}}
	case 6:
		return &meshpb.Message{Kind: &meshpb.Message_CancelJob{CancelJob: &meshpb.CancelJob{Seq: uint64(number("seq")), JobId: text("job")}}}
	case 7:
		return &meshpb.Message{Kind: &meshpb.Message_CancelJobReply{CancelJobReply: &meshpb.CancelJobReply{Seq: uint64(number("seq")), Found: true}}}
	case 8:
		return &meshpb.Message{Kind: &meshpb.Message_Evacuations{Evacuations: &meshpb.Evacuations{Evacuations: []*meshpb.Evacuation{{Zone: text("zone"), Offset: number("offset")}}}}}
	default:
		return &meshpb.Message{}
	}
}
