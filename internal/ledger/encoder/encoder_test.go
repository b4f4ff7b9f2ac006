package encoder_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
	"daisyhead/internal/ledger/serializer"
)

func batch() encoder.Batch {
	return encoder.Batch{Version: 1, Writer: "i1/a", Sequence: 3, Entries: []encoder.Entry{
		{At: 5, TermClaimed: &encoder.TermClaimed{Term: 1, Holder: "i1/a"}},
		{At: 6, RequestEnded: &encoder.RequestEnded{Workspace: "a", Key: "k", Outcome: encoder.OutcomeRan, Body: []byte("x")}},
	}}
}

func TestRoundTrip(t *testing.T) {
	data, err := encoder.Encode(batch())
	if err != nil {
		t.Fatal(err)
	}
	got, err := encoder.Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(batch(), got); diff != "" {
		t.Errorf("batch differs (-want +got):\n%s", diff)
	}
}

func TestUnreadableRecords(t *testing.T) {
	newer, err := serializer.Marshal(encoder.Batch{Version: encoder.Version + 1, Writer: "i1/a"})
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name string
		data []byte
		want error
	}{
		{"empty", nil, encoder.ErrCorrupt},
		{"not CBOR", []byte(`{"hello":1}`), encoder.ErrCorrupt},
		{"empty map", []byte{0xa0}, encoder.ErrCorrupt},
		{"newer", newer, encoder.ErrUnsupportedVersion},
	} {
		if _, err := encoder.Decode(test.data); !errors.Is(err, test.want) {
			t.Errorf("%s: %v, want %v", test.name, err, test.want)
		}
	}
}

// FuzzDecode decodes arbitrary bytes and applies the result: neither may panic.
// Decoding an encoded record and encoding it again must give the same bytes.
func FuzzDecode(f *testing.F) {
	data, err := encoder.Encode(batch())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := encoder.Decode(data)
		if err != nil {
			return
		}
		reducer.New().Apply(0, b)
		encoded, err := encoder.Encode(b)
		if err != nil {
			return
		}
		decoded, err := encoder.Decode(encoded)
		if err != nil {
			t.Fatal(err)
		}
		decoded.Version = b.Version
		final, _ := encoder.Encode(decoded)
		if string(final) != string(encoded) {
			t.Error("decoding and encoding the record again changed its bytes")
		}
	})
}
