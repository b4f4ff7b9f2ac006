// Package serializer encodes records, snapshots and messages as deterministic CBOR,
// with the names of struct fields as map keys.
//
//	data, err := serializer.Marshal(value)
//	err = serializer.Unmarshal(data, &value)
package serializer

import "github.com/fxamacker/cbor/v2"

// Limits that protect the decoder from malicious or corrupt input.
const (
	maxNesting  = 32
	maxElements = 1 << 20
)

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: maxNesting, MaxArrayElements: maxElements, MaxMapPairs: maxElements,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Marshal encodes a value. Equal values are encoded to equal bytes.
func Marshal(v any) ([]byte, error) { return encMode.Marshal(v) }

// Unmarshal decodes data that was encoded by Marshal into v.
func Unmarshal(data []byte, v any) error { return decMode.Unmarshal(data, v) }
