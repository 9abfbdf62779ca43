// Package cborcodec is a CBOR codec for connect-go, so that messages need no
// generated code.
package cborcodec

import "github.com/fxamacker/cbor/v2"

// name is the codec's name, which connect uses as the content subtype.
const name = "cbor"

// Codec marshals messages as CBOR.
type Codec struct{}

// Name returns the codec's name.
func (Codec) Name() string { return name }

// Marshal encodes a message.
func (Codec) Marshal(v any) ([]byte, error) { return cbor.Marshal(v) }

// Unmarshal decodes a message.
func (Codec) Unmarshal(data []byte, v any) error { return cbor.Unmarshal(data, v) }
