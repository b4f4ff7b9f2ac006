// Package serializer is the one binary form of records, snapshots and messages:
// CBOR with the names of the fields as keys, in a deterministic order.
//
//	data, err := serializer.Marshal(value)
//	err = serializer.Unmarshal(data, &value)
package serializer

import "github.com/fxamacker/cbor/v2"

// Bounds that protect a reader from hostile or broken input.
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

// Marshal encodes a value; equal values give equal bytes.
func Marshal(v any) ([]byte, error) { return encMode.Marshal(v) }

// Unmarshal decodes what Marshal wrote.
func Unmarshal(data []byte, v any) error { return decMode.Unmarshal(data, v) }
