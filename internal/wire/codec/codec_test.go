package codec

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/state/patch"
	"jacinthfront.dev/jacinthfront/internal/state/replay"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// everyOp returns a patch with an operation of each kind and every field set.
func everyOp() patch.Patch {
	return patch.Patch{ID: "patch-1", BaseVersion: 7, Operator: "anna", Force: true, Ops: []patch.Op{
		patch.PutOrganisation{Organisation: conf.OrganisationSpec{Name: "looms", Half: "east", Rate: 5, Burst: 9, Shards: []string{"up-1"}}},
		patch.RemoveOrganisation{Name: "kilns"},
		patch.PutKey{Key: conf.KeySpec{ID: "0123456789abcdef", Organisation: "looms", Salt: bytes.Repeat([]byte{7}, 16), Digest: [32]byte{1, 2}}},
		patch.WithdrawKey{ID: "fedcba9876543210"},
		patch.PutRoute{Route: conf.RouteSpec{
			Name: "stock", Service: "counter", Plain: true, PathPrefix: "/stock", Methods: []string{"GET"}, Class: conf.Patient,
			MaxWait: 1500 * time.Millisecond, Idempotent: true, Open: true, DefaultMaxTokens: 3, Cost: 4,
		}},
		patch.RemoveRoute{Name: "letters"},
		patch.PutAdapter{Adapter: conf.AdapterSpec{Name: "felt", Organisation: "looms", Service: "advisor", Versions: []uint32{1, 4}, DefaultVersion: 4}},
		patch.RemoveAdapter{Name: "wool"},
		patch.PutUpstream{Upstream: conf.UpstreamSpec{ID: "up-1", Service: "counter", Plain: true, Half: "east", FailureDomain: "one", FencingChecked: true}},
		patch.RemoveUpstream{ID: "up-2", Ended: true},
		patch.PutFleet{Fleet: conf.FleetSpec{LoadRateMilli: 3000, LoadBurst: 8, LoadShards: []string{"up-1"}}},
	}}
}

// Guards against a field that is lost on the log or in JSON.
func TestPatchRoundTrip(t *testing.T) {
	want := everyOp()
	tests := []struct {
		name   string
		encode func(patch.Patch) ([]byte, error)
		decode func([]byte) (patch.Patch, error)
	}{
		{name: "log", encode: EncodePatch, decode: func(data []byte) (patch.Patch, error) {
			record, err := DecodeRecord(data)
			return *record.Patch, err
		}},
		{name: "JSON", encode: EncodePatchJSON, decode: DecodePatchJSON},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			data, err := test.encode(want)
			if err != nil {
				t.Fatal(err)
			}
			got, err := test.decode(data)
			if diff := cmp.Diff(want, got); diff != "" || err != nil {
				t.Errorf("error %v (-want +got):\n%s", err, diff)
			}
		})
	}
}

// Guards against values that are out of range on the wire and become valid when
// they are converted, and against chunks with inconsistent fields.
func TestDecodeRecordRefuses(t *testing.T) {
	route := func(change func(*wirepb.Route)) *wirepb.Record {
		route := routeToWire(conf.RouteSpec{Name: "letters", Service: "advisor", MaxWait: time.Second, DefaultMaxTokens: 1})
		change(route)
		return &wirepb.Record{Body: &wirepb.Record_Patch{Patch: &wirepb.PatchRecord{
			Id: "patch", Ops: []*wirepb.Op{{Op: &wirepb.Op_PutRoute{PutRoute: route}}},
		}}}
	}
	chunk := func(index, count uint32) *wirepb.Record {
		return &wirepb.Record{Body: &wirepb.Record_Chunk{Chunk: &wirepb.SnapshotChunk{
			Version: 1, Digest: make([]byte, 32), Index: index, Count: count, Data: []byte("x"),
		}}}
	}
	tests := []struct {
		name   string
		record *wirepb.Record
		ok     bool
	}{
		{name: "route", record: route(func(*wirepb.Route) {}), ok: true},
		{name: "class 256", record: route(func(route *wirepb.Route) { route.Class = 256 })},
		{name: "class -1", record: route(func(route *wirepb.Route) { route.Class = -1 })},
		{name: "wait that wraps to 1 s", record: route(func(route *wirepb.Route) { route.LongestWaitUs = 1<<61 + 1_000_000 })},
		{name: "chunk", record: chunk(0, 1), ok: true},
		{name: "chunk beyond the count", record: chunk(1, 1)},
		{name: "short chunk that is not the last", record: chunk(0, 2)},
		{name: "no body", record: &wirepb.Record{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			data, err := proto.Marshal(test.record)
			if err != nil {
				t.Fatal(err)
			}
			record, err := DecodeRecord(data)
			if ok := err == nil && (record.Patch == nil || patch.Validate(*record.Patch) == nil); ok != test.ok {
				t.Errorf("got %+v, error %v", record, err)
			}
		})
	}
}

// Guards against JSON that is accepted although it is wrong.
func TestDecodePatchJSONRefuses(t *testing.T) {
	for _, text := range []string{
		``, `{`, `[]`, `{"id":"a","bas":1}`, `{"id":"a"} {}`,
		`{"ops":[{}]}`, `{"ops":[{"remove-adapter":"a","remove-route":"b"}]}`, `{"ops":[{"put-adapter":{"nam":"a"}}]}`,
		`{"ops":[{"put-route":{"longest-wait":5}}]}`, `{"ops":[{"put-route":{"longest-wait":"5"}}]}`,
		`{"ops":[{"put-route":{"class":"lazy"}}]}`, `{"ops":[{"put-key":{"digest":"AA=="}}]}`,
	} {
		if got, err := DecodePatchJSON([]byte(text)); err == nil {
			t.Errorf("%s was accepted as %+v", text, got)
		}
	}
}

// replayerWithAdapters returns a replayer whose state has the given number of
// adapters, which are put in patches of at most 5,000.
func replayerWithAdapters(t testing.TB, adapters int) *replay.Replayer {
	replayer := replay.New()
	ops := []patch.Op{patch.PutOrganisation{Organisation: conf.OrganisationSpec{Name: "looms", Rate: 1, Burst: 1}}}
	for index := range 40 {
		ops = append(ops, patch.PutUpstream{Upstream: conf.UpstreamSpec{ID: fmt.Sprintf("up-%d", index), Service: "advisor", FailureDomain: "one"}})
	}
	commit := func() {
		version := replayer.Config().Version()
		result, _ := replayer.ApplyPatch(version, patch.Patch{ID: fmt.Sprintf("patch-%d", version), BaseVersion: version, Ops: ops})
		if result.Kind != patch.Accepted {
			t.Fatal(result)
		}
		ops = nil
	}
	commit()
	for index := range adapters {
		ops = append(ops, patch.PutAdapter{Adapter: adapterNamed(index, 1)})
		if len(ops) == 5000 || index == adapters-1 {
			commit()
		}
	}
	return replayer
}

func adapterNamed(index int, version uint32) conf.AdapterSpec {
	return conf.AdapterSpec{
		Name: fmt.Sprintf("adapter-of-some-team-%06d", index), Service: "advisor",
		Organisation: []string{"looms", ""}[index%2],
		Versions:     []uint32{version}, DefaultVersion: version,
	}
}

// Guards against a state that differs after it was encoded and decoded.
func TestStateRoundTrip(t *testing.T) {
	want := replayerWithAdapters(t, 12_000).State()
	data, err := EncodeState(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeState(data)
	if err != nil {
		t.Fatal(err)
	}
	again, err := EncodeState(got)
	if err != nil || !bytes.Equal(data, again) {
		t.Errorf("the second encoding differs, error %v", err)
	}
	if diff := cmp.Diff(want.Config.Adapters(), got.Config.Adapters()); diff != "" {
		t.Errorf("adapters differ (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(want.RecentPatches, got.RecentPatches); diff != "" || got.VersionOffset != want.VersionOffset || got.Config.Version() != want.Config.Version() {
		t.Errorf("got offset %d and version %d (-want +got):\n%s", got.VersionOffset, got.Config.Version(), diff)
	}
}

// Guards against records that stop a process, or that one process accepts and
// another rejects: applying any bytes must not panic and must give equal states.
func FuzzDecodeRecord(f *testing.F) {
	data, _ := EncodePatch(everyOp())
	f.Add(data)
	for _, op := range everyOp().Ops {
		data, _ = EncodePatch(patch.Patch{ID: "patch-2", BaseVersion: 2, Force: true, Ops: []patch.Op{op}})
		f.Add(data)
	}
	data, _ = EncodePatch(patch.Patch{ID: "patch-2", BaseVersion: 2, Ops: []patch.Op{nil}})
	f.Add(data)
	for _, chunk := range replay.Split(3, 9, []byte("state")) {
		data, _ = EncodeChunk(chunk)
		f.Add(data)
	}
	base, _ := EncodeState(replayerWithAdapters(f, 10).State())
	f.Fuzz(func(t *testing.T, data []byte) {
		var encodings [2][]byte
		for index := range encodings {
			state, err := DecodeState(base)
			if err != nil {
				t.Fatal(err)
			}
			replayer := replay.New()
			replayer.InstallState(state, 2)
			record, err := DecodeRecord(data)
			switch {
			case err != nil:
				replayer.SkipRecord(2)
			case record.Patch != nil:
				replayer.ApplyPatch(2, *record.Patch)
			case record.Chunk != nil:
				tracker := replay.SnapshotTracker{CollectData: true}
				if encoded, _, ok := tracker.Add(*record.Chunk, time.Time{}); ok {
					_, _ = DecodeState(encoded)
				}
			}
			if encodings[index], err = EncodeState(replayer.State()); err != nil {
				t.Fatalf("an accepted patch cannot be encoded: %v", err)
			}
		}
		if !bytes.Equal(encodings[0], encodings[1]) {
			t.Error("two processes have different states after the record")
		}
		if state, err := DecodeState(encodings[0]); err != nil {
			t.Errorf("the state cannot be decoded: %v", err)
		} else if again, _ := EncodeState(state); !bytes.Equal(encodings[0], again) {
			t.Error("the state differs after it was encoded and decoded")
		}
	})
}

// Guards against JSON that stops a process, or whose patch is valid as JSON but
// not in its log record, or the reverse.
func FuzzDecodePatchJSON(f *testing.F) {
	data, _ := EncodePatchJSON(everyOp())
	f.Add(data)
	f.Add([]byte(`{"id":"a","base":1,"ops":[{"remove-adapter":"a"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := DecodePatchJSON(data)
		if err != nil {
			return
		}
		problem := patch.Validate(record)
		wire, err := EncodePatch(record)
		if err != nil {
			return
		}
		decoded, err := DecodeRecord(wire)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(problem, patch.Validate(*decoded.Patch)); diff != "" {
			t.Errorf("the patch is validated differently in its log record (-JSON +log):\n%s", diff)
		}
	})
}

// Guards against snapshots that stop a process.
func FuzzDecodeState(f *testing.F) {
	data, _ := EncodeState(replayerWithAdapters(f, 10).State())
	f.Add(data)
	f.Add([]byte{8, 1, 82, 1, 65})
	f.Fuzz(func(_ *testing.T, data []byte) {
		state, err := DecodeState(data)
		if err != nil {
			return
		}
		for adapter := range state.Config.AllAdapters() {
			state.Config.Adapter(adapter.Name)
		}
		replayer := replay.New()
		replayer.InstallState(state, 1)
		replayer.ApplyPatch(1, patch.Patch{ID: "next", BaseVersion: state.Config.Version(), Ops: []patch.Op{patch.RemoveAdapter{Name: "a"}}})
	})
}

var sizes = []int{20_000, 60_000, 110_000, 170_000}

func BenchmarkState(b *testing.B) {
	for _, size := range sizes {
		state := replayerWithAdapters(b, size).State()
		encoded, err := EncodeState(state)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("encode-%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = EncodeState(state)
			}
			b.ReportMetric(float64(len(encoded)), "bytes")
		})
		b.Run(fmt.Sprintf("decode-%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = DecodeState(encoded)
			}
		})
	}
}

// BenchmarkRecord measures the time to encode a record, decode it and apply it.
func BenchmarkRecord(b *testing.B) {
	for _, size := range sizes {
		replayer := replayerWithAdapters(b, size)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				version := replayer.Config().Version()
				data, err := EncodePatch(patch.Patch{ID: fmt.Sprintf("patch-%d", version), BaseVersion: version, Ops: []patch.Op{
					patch.PutAdapter{Adapter: adapterNamed(int(version)*7919%size, uint32(version))},
				}})
				if err != nil {
					b.Fatal(err)
				}
				record, err := DecodeRecord(data)
				if err != nil {
					b.Fatal(err)
				}
				if result, _ := replayer.ApplyPatch(version+1000, *record.Patch); result.Kind != patch.Accepted {
					b.Fatal(result)
				}
			}
		})
	}
}
