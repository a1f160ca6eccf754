package origin

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

var (
	first  = Origin{Service: "advisor", Version: "v1"}
	second = Origin{Service: "advisor", Version: "v2"}
)

// TestKeyOf guards against streams of two organisations that share a key, and against
// requests without an id that count as one stream.
func TestKeyOf(t *testing.T) {
	if KeyOf("a", "r-1") == KeyOf("b", "r-1") || KeyOf("a", "r-1") == KeyOf("a", "r-2") {
		t.Error("two streams have one key")
	}
	if diff := cmp.Diff(Key(0), KeyOf("a", "")); diff != "" {
		t.Errorf("key without an id (-want +got):\n%s", diff)
	}
}

// TestLedger guards against a stream that goes on at other software than the recorded one.
func TestLedger(t *testing.T) {
	type outcome struct {
		Origin Origin
		Found  bool
	}
	tests := []struct {
		name    string
		records []Record
		wait    time.Duration
		want    outcome
	}{
		{name: "not recorded"},
		{name: "recorded", records: []Record{{7, first, time.Second}}, want: outcome{first, true}},
		{name: "other stream", records: []Record{{8, first, time.Second}}},
		{name: "recorded twice", records: []Record{{7, first, time.Second}, {7, first, time.Minute}}, wait: 30 * time.Second, want: outcome{first, true}},
		{name: "shortened", records: []Record{{7, first, time.Minute}, {7, first, time.Second}}, wait: 30 * time.Second, want: outcome{first, true}},
		{name: "expired", records: []Record{{7, first, time.Second}}, wait: time.Second},
		{name: "two origins", records: []Record{{7, first, time.Second}, {7, second, time.Second}}, want: outcome{Origin{}, true}},
		{name: "two origins and the first again", records: []Record{{7, first, time.Second}, {7, second, time.Second}, {7, first, time.Second}}, want: outcome{Origin{}, true}},
		{name: "unknown origin", records: []Record{{7, Origin{}, time.Second}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ledger := New(Config{})
				for _, record := range test.records {
					ledger.Record(record, nil)
				}
				time.Sleep(test.wait)
				record, found := ledger.Find(7)
				if diff := cmp.Diff(test.want, outcome{record.Origin, found}); diff != "" {
					t.Errorf("record (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestLedgerBound guards against a ledger that grows without a bound.
func TestLedgerBound(t *testing.T) {
	ledger := New(Config{MaxRecords: 100})
	for key := range 1000 {
		ledger.Record(Record{Key(key + 1), first, time.Hour}, nil)
	}
	if diff := cmp.Diff(100, ledger.Len()); diff != "" {
		t.Errorf("records (-want +got):\n%s", diff)
	}
}

// TestOrphans guards against streams whose origin is lost with the loaders that hold it.
func TestOrphans(t *testing.T) {
	ledger := New(Config{})
	ledger.Record(Record{1, first, time.Hour}, []string{"a", "b"})
	ledger.Record(Record{2, first, time.Hour}, []string{"b", "c"})
	ledger.Record(Record{3, first, time.Hour}, []string{"c", "d"})
	var orphans []Key
	for _, record := range ledger.Orphans(map[string]bool{"a": true, "c": true, "d": true}) {
		orphans = append(orphans, record.Key)
	}
	if diff := cmp.Diff([]Key{1, 2}, orphans); diff != "" {
		t.Errorf("streams without a holder (-want +got):\n%s", diff)
	}
	var held []Key
	for _, record := range ledger.HeldBy("c") {
		held = append(held, record.Key)
	}
	if diff := cmp.Diff([]Key{2, 3}, held); diff != "" {
		t.Errorf("streams that a holder lost (-want +got):\n%s", diff)
	}
}

// TestCopies guards against a copy that counts as a record of which holders were told, and
// against one that makes the ledger forget them.
func TestCopies(t *testing.T) {
	ledger := New(Config{})
	ledger.Record(Record{1, first, time.Hour}, []string{"a"})
	ledger.Record(Record{1, first, time.Hour}, nil)
	ledger.Record(Record{2, first, time.Hour}, nil)
	ledger.Record(Record{3, first, time.Hour}, nil)
	ledger.Record(Record{3, first, time.Hour}, []string{"a"})
	ledger.Record(Record{4, first, time.Hour}, nil)
	ledger.Record(Record{4, second, time.Hour}, nil)
	keys := func(records []Record) (keys []Key) {
		for _, record := range records {
			keys = append(keys, record.Key)
		}
		return keys
	}
	if diff := cmp.Diff([][]Key{{1, 3}, {2}}, [][]Key{keys(ledger.Told()), keys(ledger.Copies())}); diff != "" {
		t.Errorf("streams of which holders were told, and copies (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]bool{false, true, false}, []bool{ledger.IsCopy(1), ledger.IsCopy(2), ledger.IsCopy(5)}); diff != "" {
		t.Errorf("copies (-want +got):\n%s", diff)
	}
}

// TestSole guards against a version that counts as the only one although another one was
// listed, or may have been, while the stream can have begun.
func TestSole(t *testing.T) {
	const within = 20 * time.Second
	both := map[Origin]bool{first: true, second: true}
	only := map[Origin]bool{first: true}
	type step struct {
		listed map[Origin]bool
		// confirmed is how long the list is confirmed after it was observed.
		confirmed time.Duration
		// silent is how long it is not confirmed after that.
		silent time.Duration
		// replaced is software that an entry named until a later record of it.
		replaced Origin
		// restored means that the list comes from an earlier copy from then on.
		restored bool
	}
	tests := []struct {
		name  string
		steps []step
		// late is how long after the take-up the question is asked, as the process stood still.
		late time.Duration
		want Origin
	}{
		{name: "nothing listed"},
		{name: "the other one had just left, asked late", steps: []step{{listed: both, confirmed: 30 * time.Second}, {listed: only, confirmed: 19 * time.Second}}, late: 2 * time.Second},
		{name: "always the only one", steps: []step{{listed: only, confirmed: 30 * time.Second}}, want: first},
		{name: "followed too short", steps: []step{{listed: only, confirmed: 10 * time.Second}}},
		{name: "two versions", steps: []step{{listed: both, confirmed: 30 * time.Second}}},
		{name: "the other one has just left", steps: []step{{listed: both, confirmed: 30 * time.Second}, {listed: only, confirmed: 10 * time.Second}}},
		{name: "the other one left long ago", steps: []step{{listed: both, confirmed: 30 * time.Second}, {listed: only, confirmed: 30 * time.Second}}, want: first},
		{name: "the other one has just come", steps: []step{{listed: only, confirmed: 30 * time.Second}, {listed: both, confirmed: time.Second}}},
		{name: "list not current", steps: []step{{listed: only, confirmed: 30 * time.Second, silent: 5 * time.Second}}},
		{name: "the other one was listed for a moment", steps: []step{{listed: only, confirmed: 30 * time.Second}, {listed: only, replaced: second, confirmed: time.Second}}},
		{name: "the other one was listed for a moment long ago", steps: []step{{listed: only, replaced: second, confirmed: 30 * time.Second}}, want: first},
		{name: "list just restored", steps: []step{{listed: only, confirmed: 30 * time.Second}, {listed: only, restored: true, confirmed: time.Second}}},
		{name: "list restored a while ago", steps: []step{{listed: only, confirmed: 30 * time.Second}, {listed: only, restored: true, confirmed: 2 * time.Second}}, want: first},
		{name: "gap in the list", steps: []step{{listed: only, confirmed: 30 * time.Second, silent: 5 * time.Second}, {listed: only, confirmed: 10 * time.Second}}},
		{name: "all left", steps: []step{{listed: only, confirmed: 30 * time.Second}, {listed: nil, confirmed: 10 * time.Second}}, want: first},
		{name: "other service", steps: []step{{listed: map[Origin]bool{first: true, {Service: "counter", Version: "v9"}: true}, confirmed: 30 * time.Second}}, want: first},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				history := NewHistory()
				for _, step := range test.steps {
					if step.replaced.Known() {
						history.Add(step.replaced)
					}
					if step.restored {
						history.MarkIncomplete(2 * time.Second)
					}
					history.Observe(step.listed)
					for range int(step.confirmed / time.Second) {
						history.Confirm(time.Now())
						time.Sleep(time.Second)
					}
					time.Sleep(step.silent)
				}
				takenUp := time.Now()
				time.Sleep(test.late)
				sole, ok := history.Sole([]string{"advisor"}, takenUp.Add(-within))
				if diff := cmp.Diff(test.want, sole); diff != "" || ok != test.want.Known() {
					t.Errorf("found %v, only version (-want +got):\n%s", ok, diff)
				}
			})
		})
	}
}

// TestRecall guards against a version that counts as the only one although the history of
// the list names another, and against take-ups that are refused although it names none.
func TestRecall(t *testing.T) {
	tests := []struct {
		name    string
		covered time.Duration
		named   []Origin
		want    Origin
	}{
		{name: "only one", covered: time.Minute, named: []Origin{first}, want: first},
		{name: "another one", covered: time.Minute, named: []Origin{first, second}},
		{name: "too short", covered: time.Second, named: []Origin{first}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				history := NewHistory()
				history.Observe(map[Origin]bool{first: true})
				history.Confirm(time.Now())
				named := make(map[Origin]bool)
				for _, origin := range test.named {
					named[origin] = true
				}
				history.Recall(time.Now().Add(-test.covered), named)
				sole, _ := history.Sole([]string{"advisor"}, time.Now().Add(-20*time.Second))
				if diff := cmp.Diff(test.want, sole); diff != "" {
					t.Errorf("only version (-want +got):\n%s", diff)
				}
			})
		})
	}
}
