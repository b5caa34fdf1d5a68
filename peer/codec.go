package peer

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
)

// codec encodes messages between entry hosts as CBOR. It implements drpc.Encoding.
type codec struct {
	encoder cbor.EncMode
	decoder cbor.DecMode
}

// maxElements limits the length of arrays in a message.
const maxElements = 1 << 16

func newCodec() (*codec, error) {
	options := cbor.EncOptions{Time: cbor.TimeUnixMicro}
	encoder, err := options.EncMode()
	if err != nil {
		return nil, errors.Wrap(err, "peer: create the CBOR encoder")
	}
	decoder, err := cbor.DecOptions{MaxArrayElements: maxElements}.DecMode()
	if err != nil {
		return nil, errors.Wrap(err, "peer: create the CBOR decoder")
	}
	return &codec{encoder: encoder, decoder: decoder}, nil
}

func (c *codec) Marshal(message drpc.Message) ([]byte, error) {
	return c.encoder.Marshal(message)
}

func (c *codec) Unmarshal(data []byte, message drpc.Message) error {
	return c.decoder.Unmarshal(data, message)
}
