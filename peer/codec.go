package peer

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
)

// codec encodes messages between entry hosts as CBOR.
type codec struct {
	encoder cbor.EncMode
	decoder cbor.DecMode
}

// maxElements bounds the arrays of a message.
const maxElements = 1 << 16

func newCodec() (*codec, error) {
	options := cbor.EncOptions{Time: cbor.TimeUnixMicro}
	encoder, err := options.EncMode()
	if err != nil {
		return nil, errors.Wrap(err, "peer: encoder")
	}
	decoder, err := cbor.DecOptions{MaxArrayElements: maxElements}.DecMode()
	if err != nil {
		return nil, errors.Wrap(err, "peer: decoder")
	}
	return &codec{encoder: encoder, decoder: decoder}, nil
}

// Marshal encodes a message.
func (c *codec) Marshal(message drpc.Message) ([]byte, error) {
	return c.encoder.Marshal(message)
}

// Unmarshal decodes a message.
func (c *codec) Unmarshal(data []byte, message drpc.Message) error {
	return c.decoder.Unmarshal(data, message)
}
