package encoder_test

import (
	"testing"

	"daisyhead/internal/peer/encoder"
)

// FuzzDecode decodes arbitrary bytes: Decode must not panic, and a decoded message
// must still be decodable after it is encoded again.
func FuzzDecode(f *testing.F) {
	data, err := encoder.Encode(encoder.Message{Heartbeat: &encoder.Heartbeat{Name: "entry-1", SlotsUsed: map[string]int{"m": 2}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0xa1, 0x67})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := encoder.Decode(data)
		if err != nil {
			return
		}
		encoded, err := encoder.Encode(m)
		if err != nil {
			return
		}
		if _, err := encoder.Decode(encoded); err != nil {
			t.Error(err)
		}
	})
}
