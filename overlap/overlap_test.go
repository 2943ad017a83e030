package overlap

import (
	"bytes"
	"strings"
	"testing"
)

const (
	grantLog = `   8.1 edge-1 {"level":"info","self":"edge-1","event":2300,"request_id":"r1","target":"e7","salt":"m/1/","fetch":"a@s1,b@s2","fetch_until":9000,"clock":7000,"newest":true,"newest_age_ms":300,"registered":true,"time":1700}
not a line
   8.2 edge-3 {"level":"info","self":"edge-3","ev{"level":"info","self":"edge-2","event":2300,"request_id":"r2","salt":"m/2/","fetch":"a@s1","fetch_until":9900,"clock":7900,"time":1750}
{"level":"info","self":"edge-1","event":2300,"request_id":"r3","salt":"other/1/","fetch":"a@s1","fetch_until":9000,"clock":7000,"time":1700}
{"level":"info","self":"edge-1","event":2300,"request_id":"r4","salt":"m/1/","time":1700}
`
	freeLog = `{"level":"info","self":"edge-4","event":2502,"vault":"s1","model":"m","before":2,"confirmed":true,"known_ms":4800,"rank":1,"clock":9300,"until":10300,"part":"c,a","time":1900}
{"level":"error","self":"edge-5","error":"timeout","event":2504,"vault":"s2","model":"m","before":2,"clock":8600,"until":9600,"part":"b","time":1900}
{"level":"info","self":"edge-5","event":2502,"vault":"s2","model":"m","before":2,"clock":5000,"until":6000,"part":"b","time":1900}
`
)

func readLogs(t *testing.T, logs ...string) *Log {
	t.Helper()

	var l Log

	for _, text := range logs {
		if err := l.Read(strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
	}

	return &l
}

func TestPairsAreJoinedByStoreScopeAndPart(t *testing.T) {
	type pair struct {
		request, freedBy string
		margin           int64
		outcome          Outcome
	}

	var got []pair
	for _, p := range readLogs(t, freeLog, grantLog).Pairs() {
		got = append(got, pair{p.grant.text("request_id"), p.free.text("self"), p.Margin(), p.Outcome()})
	}

	want := []pair{{"r1", "edge-5", -4000, GrantedLater}, {"r1", "edge-5", -400, Unconfirmed}, {"r1", "edge-4", 300, Released}}
	if len(got) != len(want) {
		t.Fatalf("got %+v, want %+v", got, want)
	}

	for i := range want {
		if got[i] != want[i] {
			t.Errorf("pair %d: got %+v, want %+v", i, got[i], want[i])
		}
	}
}

func TestReportNamesTheWorstPairs(t *testing.T) {
	var out bytes.Buffer
	if err := readLogs(t, grantLog, freeLog).WriteText(&out, 1); err != nil {
		t.Fatal(err)
	}

	for _, want := range []string{
		"released: 1 pairs, least margin 300 ms\n    +300 ms  a@s1 salt=m/1/\n    granted by self=edge-1 request_id=r1 target=e7 clock=7000",
		"freed by self=edge-4 clock=9300 until=10300 before=2 known_ms=4800 confirmed=true rank=1\nrelease not confirmed: 1 pairs, least margin -400 ms\n",
		"error=timeout\ngranted after the release: 1 pairs, least margin -4000 ms\n",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("got no %q in:\n%s", want, out.String())
		}
	}
}
