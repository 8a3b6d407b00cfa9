package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sesameledge.dev/sesameledge/fleet/configcheck"
	"sesameledge.dev/sesameledge/host"
	"sesameledge.dev/sesameledge/platform"
)

// checkText checks a configuration through the command line and returns the report, the exit code and what
// was written to the error output.
func checkText(text string, args ...string) (report configReport, code int, errors string) {
	var out, errOut bytes.Buffer
	code = Main(append([]string{"--json", "config", "check", "-"}, args...), Env{In: strings.NewReader(text), Out: &out, Err: &errOut})
	_ = json.Unmarshal(out.Bytes(), &report) // the report stays empty if there is none
	return report, code, errOut.String()
}

// drawConfig draws the text of a configuration, most of whose values have the right type.
func drawConfig(t *rapid.T) string {
	value := func(label string, usual ...string) string {
		if rapid.IntRange(0, 14).Draw(t, label+" odd") == 0 {
			usual = []string{`"x"`, `7`, `-1`, `1.5`, `1e30`, `null`, `true`, `[]`, `{}`, `[[1]]`, `"`, ``}
		}
		return rapid.SampledFrom(usual).Draw(t, label)
	}
	var routes []string
	for range rapid.IntRange(0, 5).Draw(t, "routes") {
		routes = append(routes, fmt.Sprintf(`{"name":%s, "host":%s, "pathPrefix":%s, "service":%s,
			"timeoutMs":%s, "targetLatencyMs":%s, "maxAttempts":%s, "advisor":%s}`,
			value("name", `"a"`, `"b"`, `"c"`), value("host", `"x.example"`, `"Y.example"`, `"z:1"`), value("prefix", `"/a/"`, `"/b/"`, `"c"`),
			value("service", `"s"`, `"t"`), value("timeout", `1500`, `0`, `10`), value("target", `60`, `0`), value("attempts", `1`, `40`), value("advisor", `null`, `{}`)))
	}
	return fmt.Sprintf(`{"version":%s, "routes":%s, "services":%s, "limits":%s}`,
		value("version", `1`, `9`, `0`), value("list", "["+strings.Join(routes, ",\n")+"]"),
		value("services", `[{"name":"s"}]`, `[{"name":"s"},{"name":"s","standby":true}]`), value("limits", `{}`, `{"maxBodyBytes":20000000,"maxHeaderBytes":"x"}`))
}

// TestCheckJudgesAsHosts guards against a check that passes what hosts refuse, refuses what they take, or
// finds other problems than they log.
func TestCheckJudgesAsHosts(t *testing.T) {
	const memoryMB = 284
	rapid.Check(t, func(t *rapid.T) {
		text := drawConfig(t)
		report, _, errOut := checkText(text, "--memory-mb", fmt.Sprint(memoryMB))
		state := host.New(host.Options{
			Self: host.Self{Name: "h", Addr: "h:1", ID: 1}, MemoryMB: memoryMB,
			Decode: host.Decoders{Config: platform.DecodeConfig, Worker: platform.DecodeWorker},
		})
		active, ignored := false, false
		var logged []string
		for _, effect := range state.Step(time.Second, host.ConfigRead{Record: []byte(text)}) {
			switch e := effect.(type) {
			case host.ActivateConfig:
				active = true
			case host.LogEntry:
				ignored = ignored || e.Message == "configuration ignored"
				if e.Message == "configuration is questionable" {
					logged = append(logged, fmt.Sprint(e.Fields[3], " ", platform.ConfigField(e.Fields[5].(string)), " ", e.Fields[7]))
				}
			}
		}
		if active == ignored || active != (report.Version > 0) || ignored != (report.Errors > 0 && report.Version == 0) {
			t.Fatalf("in force %v, ignored %v, report %+v %s\n%s", active, ignored, report, errOut, text)
		}
		if !active {
			return
		}
		for i, line := range logged {
			if f := report.Findings[i]; line != fmt.Sprint(f.Level, " ", f.Field, " ", f.Message) {
				t.Fatalf("logged %q, found %v", line, f)
			}
		}
		if len(logged) != min(10, len(report.Findings)) {
			t.Fatalf("%d findings are logged, %d reported", len(logged), len(report.Findings))
		}
	})
}

// TestCheckPlaces guards against problems that are reported one at a time or at a wrong place.
func TestCheckPlaces(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{`{"version":"9",` + "\n" + `"routes":[{"name":7,"timeoutMs":"1s"},` + "\n" + ` {"priority":[1]}],"limits":[]}`, "1:12 version, 2:19 routes[0].name, 2:33 routes[0].timeoutMs, 3:14 routes[1].priority, 3:29 limits"},
		{`{"version":9,` + "\n" + `"routes":[{"name":"a",}]}`, "2:23 "},
		{`{"routes":[]}`, "1:1 "},
		{`{"version":1} x`, "1:15 "},
		{``, "1:1 "},
		{`[1]`, "1:1 "},
		{"{\"version\":9,\n\"services\":[{\"name\":\"s\"},\n {\"name\":\"s\"}],\n\"ROUTES\":[{\"name\":\"r\",\"host\":\"h:1\",\n\"pathPrefix\":\"/p/\",\"service\":\"s\"}]}", "4:30 routes[0].host, 3:10 services[1].name"},
	} {
		report, code, _ := checkText(c.text)
		var places []string
		for _, f := range report.Findings {
			places = append(places, fmt.Sprintf("%d:%d %s", f.Position.Line, f.Position.Column, f.Field))
		}
		if got := strings.Join(places, ", "); got != c.want || code != ExitFailed {
			t.Errorf("%s\ncode %d, %q, want %q", c.text, code, got, c.want)
		}
	}
}

// TestCheckExitCodes guards against scripts that send a configuration with errors, or stop at a warning.
func TestCheckExitCodes(t *testing.T) {
	const sound = `{"version":7,"routes":[{"name":"a","host":"h","pathPrefix":"/a/","service":"s"}],"services":[{"name":"s"}]}`
	const newer = `{"version":8,"routes":[{"name":"b","host":"h","pathPrefix":"/b/","service":"s"}],"services":[{"name":"s"}]}`
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	inForce, workers := file("force", sound), file("workers", `{"w":{"service":"t","addr":"a","zone":"z","state":"ready","capacity":{}}}`)
	for _, c := range []struct {
		text string
		args []string
		code int
		want string // level and field of the only finding
	}{
		{sound, nil, ExitOK, ""},
		{newer, []string{"--against", inForce}, ExitOK, ""},
		{sound, []string{"--against", inForce}, ExitFailed, "error version"},
		{sound, []string{"--workers", workers}, ExitOK, "warning routes[0].service"},
		{sound, []string{"--against", filepath.Join(dir, "none")}, ExitUsage, ""},
		{sound, []string{"--against", file("broken", "{")}, ExitUsage, ""},
		{sound, []string{"--workers", filepath.Join(dir, "none")}, ExitUsage, ""},
		{sound, []string{"--store", "127.0.0.1:1"}, ExitUsage, ""},
		{sound, []string{"--store", "127.0.0.1:1", "--against", inForce}, ExitUsage, ""},
	} {
		report, code, errOut := checkText(c.text, c.args...)
		found := ""
		for _, f := range report.Findings {
			found += fmt.Sprint(f.Level, " ", f.Field)
		}
		if code != c.code || found != c.want {
			t.Errorf("%v: code %d, %q %s", c.args, code, found, errOut)
		}
	}
	report, _, _ := checkText(newer, "--against", inForce)
	if report.InForce != 7 || len(report.Changes) != 2 || report.Changes[0].Kind != configcheck.Removed {
		t.Errorf("changes %+v", report.Changes)
	}
}
