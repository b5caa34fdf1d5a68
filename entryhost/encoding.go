package entryhost

import (
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
)

// encoding keeps the nanoseconds of times, because the order of records depends on them.
var encoding = newEncoding()

func newEncoding() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// encode returns the encoded value of a gossip item.
func (c *control) encode(value any) []byte {
	data, err := encoding.Marshal(value)
	if err != nil {
		c.log.Error("soft state not encoded", zap.Error(err))
	}
	return data
}

// unmarshal decodes the value of a gossip item.
func unmarshal(data []byte, value any) error { return cbor.Unmarshal(data, value) }
