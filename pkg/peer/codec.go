package peer

import "github.com/fxamacker/cbor/v2"

// codecName is the content subtype of the calls.
const codecName = "cbor"

// codec marshals messages as CBOR, so that no generated code is needed.
type codec struct{}

func (codec) Name() string { return codecName }

func (codec) Marshal(v any) ([]byte, error) { return cbor.Marshal(v) }

func (codec) Unmarshal(data []byte, v any) error { return cbor.Unmarshal(data, v) }
