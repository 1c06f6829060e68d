package messenger

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"storj.io/drpc"

	"github.com/garnetworks/garnetworks"
)

// The first byte of an encoded message states the format of the rest.
const (
	formatPlain      = 0
	formatCompressed = 1
	// minCompressBytes is the size from which compression is tried. Heartbeats are smaller;
	// zone views and rosters, which repeat their field names, are larger.
	minCompressBytes = 512
)

// Encoding encodes messages as CBOR and compresses large ones. Unknown fields are ignored,
// so that nodes of adjacent program versions can communicate.
type Encoding struct{}

var _ drpc.Encoding = Encoding{}

var (
	encoder = must(cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode())
	decoder = must(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  16,
		MaxArrayElements: 64 << 10,
		MaxMapPairs:      64 << 10,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

var (
	compressors   = sync.Pool{New: func() any { return must(flate.NewWriter(io.Discard, flate.BestSpeed)) }}
	decompressors = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}
)

// encoded is a message that is already encoded; Marshal returns it unchanged.
type encoded []byte

// Marshal encodes a message. The error for an oversized one is itself encoded, so that
// drpc carries its kind to the caller.
func (Encoding) Marshal(message drpc.Message) ([]byte, error) {
	if data, ok := message.(encoded); ok {
		return data, nil
	}
	var buffer bytes.Buffer
	buffer.WriteByte(formatPlain)
	if err := encoder.NewEncoder(&buffer).Encode(message); err != nil {
		return nil, errors.Wrapf(err, "can't encode %T", message)
	}
	if buffer.Len() > MaxMessageBytes {
		err := garnetworks.Errorf(garnetworks.KindTooLarge, "%T of %d bytes is above the bound of %d", message, buffer.Len(), MaxMessageBytes)
		return nil, encodeFailure(err, garnetworks.Timestamp{})
	}
	if buffer.Len() < minCompressBytes {
		return buffer.Bytes(), nil
	}
	return compress(buffer.Bytes())
}

func compress(plain []byte) ([]byte, error) {
	var buffer bytes.Buffer
	buffer.WriteByte(formatCompressed)
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&buffer)
	if _, err := w.Write(plain[1:]); err != nil {
		return nil, errors.Wrap(err, "can't compress")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "can't compress")
	}
	if buffer.Len() >= len(plain) {
		return plain, nil
	}
	return buffer.Bytes(), nil
}

// Unmarshal decodes a message.
func (Encoding) Unmarshal(data []byte, message drpc.Message) error {
	if len(data) == 0 {
		return errors.Errorf("empty message for %T", message)
	}
	body := data[1:]
	switch data[0] {
	case formatPlain:
	case formatCompressed:
		plain, err := decompress(body)
		if err != nil {
			return err
		}
		body = plain
	default:
		return errors.Errorf("unknown message format %d", data[0])
	}
	return errors.Wrapf(decoder.Unmarshal(body, message), "can't decode %T", message)
}

// decompress stops at MaxMessageBytes, so that a small malicious message can't expand to
// gigabytes.
func decompress(body []byte) ([]byte, error) {
	r := decompressors.Get().(io.ReadCloser)
	defer decompressors.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(body), nil); err != nil {
		return nil, errors.Wrap(err, "can't decompress")
	}
	plain, err := io.ReadAll(io.LimitReader(r, MaxMessageBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "can't decompress")
	}
	if len(plain) > MaxMessageBytes {
		return nil, errors.Errorf("message exceeds %d bytes", MaxMessageBytes)
	}
	return plain, nil
}

// EncodeBody encodes a value as the body of an update.
func EncodeBody(value any) ([]byte, error) {
	data, err := encoder.Marshal(value)
	return data, errors.Wrapf(err, "can't encode %T", value)
}

// DecodeBody decodes the body of an update into value.
func DecodeBody(body []byte, value any) error {
	return errors.Wrapf(decoder.Unmarshal(body, value), "can't decode %T", value)
}
