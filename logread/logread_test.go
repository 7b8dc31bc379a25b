package logread

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// hostLogs contains log lines of two hosts; one line is cut off, and one follows the name
// of its host.
const hostLogs = `{"time":"2026-12-03T00:00:01.5Z","level":"info","msg":"assignment known","program":"cicada-gateway","host":"one","service":"owned","revision":6,"term":1,"controller":"two","ranges":32}
{"time":"2026-12-03T00:00:02Z","level":"info","msg":"in control","program":"cicada-gateway","host":"two","service":"owned","term":1,"revision":6,"ranges":32}
one: {"time":"2026-12-03T00:00:03.1Z","level":"info","msg":"request","program":"cicada-gateway","host":"one","request":"r-1","outcome":"answered","status":200,"ms":12,"configuration":3,"route":"keyed","service":"owned","sends":1,"servers":["k1"],"key":7,"assignment":6,"assignment-age-ms":1600}
{"time":"2026-12-03T00:00:03.2Z","level":"info","msg":"attempt repeated","program":"cicada-gateway","host":"one","request":"r-2","server":"k1","sent":true,"not-run":true,"left-ms":3610,"outcome":"server-refused","status":503}
{"time":"2026-12-03T00:00:05Z","level":"info","msg":"request","program":"cicada-gateway","host":"one","request":"r-2","outcome":"no-owner","status":503,"ms":1800,"route":"keyed","service":"owned","sends":1,"servers":["k1"],"key":7,"assignment":6,"assignment-age-ms":3500,"retry-after-ms":400,"error":"x"}
{"time":"2026-12-03T00:00:05.5Z","level":"info","msg":"control given up","program":"cicada-gateway","host":"two","service":"owned","why":"this process stops","successor":""}
{"time":"2026-12-03T00:00:06Z","level":"info","msg":"requ`

func TestSummary(t *testing.T) {
	summarizer := NewSummarizer()
	unreadable, err := Scan(strings.NewReader(hostLogs), summarizer.Add, nil)
	assert.NilError(t, err)
	assert.Equal(t, unreadable, int64(1))
	s := summarizer.Summary()
	assert.Equal(t, s.Lines, int64(6))
	assert.Equal(t, s.Hosts, 2)
	assert.DeepEqual(t, s.Outcomes, map[string]map[string]int64{"owned": {"answered": 1, "no-owner": 1}})
	assert.DeepEqual(t, s.Seconds, []map[string]int64{nil, nil, {"answered": 1}, nil, {"no-owner": 1}})
	assert.DeepEqual(t, s.FailedKeys, []Count{{Name: "owned/7", Count: 1}})
	assert.DeepEqual(t, s.FailedServers, []Count{{Name: "k1", Count: 1}})
	assert.DeepEqual(t, s.Ages, map[string]int64{"answered": 1600, "no-owner": 3500})
	assert.Equal(t, len(s.Controllers), 2)
	assert.Equal(t, s.Controllers[0].What, "in control")
	var out bytes.Buffer
	s.WriteTable(&out)
	assert.Assert(t, strings.Contains(out.String(), "owned\tno-owner\t1"), out.String())
}

// TestRequestTrace checks that a trace contains the lines of the request in order, each
// with the state that its host had logged before.
func TestRequestTrace(t *testing.T) {
	collector := NewTraceCollector("r-2")
	_, err := Scan(strings.NewReader(hostLogs), collector.Add, nil)
	assert.NilError(t, err)
	trace := collector.Trace()
	assert.Equal(t, len(trace.Events), 2)
	assert.Assert(t, strings.Contains(trace.Events[0].Line, "attempt repeated"))
	assert.Assert(t, strings.Contains(trace.Events[1].Line, "no-owner"))
	assert.Equal(t, len(trace.Events[1].HostState), 1)
	assert.Assert(t, strings.Contains(trace.Events[1].HostState[0], "assignment known"))
	var out bytes.Buffer
	NewTraceCollector("r-9").Trace().WriteTable(&out)
	assert.Assert(t, strings.Contains(out.String(), "no line names request r-9"))
}

type brokenReader struct{}

var errBroken = errors.New("disk error")

func (brokenReader) Read([]byte) (int, error) { return 0, errBroken }

// TestScanSkipsLongLines checks that a line that is too long is counted and skipped, that
// the following lines are read, and that an error of the reader is returned.
func TestScanSkipsLongLines(t *testing.T) {
	lines := 0
	long := strings.Repeat("x", 3*maxLineBytes) + "\n" + `{"msg":"request"}` + "\n"
	unreadable, err := Scan(strings.NewReader(long), func(Line) { lines++ }, nil)
	assert.NilError(t, err)
	assert.Equal(t, unreadable, int64(1))
	assert.Equal(t, lines, 1)
	_, err = Scan(brokenReader{}, func(Line) {}, nil)
	assert.Assert(t, errors.Is(err, errBroken))
}
