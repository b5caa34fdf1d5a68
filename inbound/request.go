package inbound

import (
	"errors"
	"io"
	"net"
	"net/http"

	"citronspread/memory"
)

// Request is what a host holds for one request. Its methods reserve nothing if the request does not come from a Listener.
type Request struct {
	conn *Conn
	// isHTTP10 means that the caller does not understand chunks. A response without a length then ends with the connection.
	isHTTP10 bool
}

// Begin returns the Request of a request whose head has been parsed. The error is a *memory.RefusedError.
func Begin(r *http.Request, id string) (*Request, error) {
	q := &Request{conn: connOf(r), isHTTP10: !r.ProtoAtLeast(1, 1)}
	if q.conn == nil {
		return q, nil
	}
	size, lines := int64(len(r.RequestURI)), int64(0)
	for name, values := range r.Header {
		lines += int64(len(values))
		for _, value := range values {
			size += int64(len(name) + len(value))
		}
	}
	return q, q.conn.beginRequest(id, lines, size, r.Body != nil && r.Body != http.NoBody)
}

// Abort aborts a response whose head has been sent, in a way that shows the caller that it is incomplete. It does not return.
func (q *Request) Abort(w http.ResponseWriter) {
	if q.isHTTP10 && w.Header().Get("Content-Length") == "" {
		reset(w)
	}
	panic(http.ErrAbortHandler) // net/http closes the connection before the declared length or the last chunk is sent
}

// reset resets the connection of a response. If it can't be hijacked, net/http closes it without a reset.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	switch c := conn.(type) {
	case *Conn:
		c.drop()
	case *net.TCPConn:
		_ = c.SetLinger(0) // fails only on a closed connection
	}
	_ = conn.Close()
}

// Hold reserves bytes of a response that are buffered. The error is a *memory.RefusedError.
func (q *Request) Hold(bytes int64) error {
	if q.conn == nil {
		return nil
	}
	return q.conn.holder.Reserve(q.conn.listener.Now(), memory.Responses, bytes)
}

// Release releases bytes that were reserved by Hold.
func (q *Request) Release(bytes int64) {
	if q.conn != nil {
		q.conn.holder.Release(memory.Responses, bytes)
	}
}

// Sizes of the pieces in which a body is held.
const (
	firstPiece   = 4 << 10 // of a body without a declared length
	pieceBytes   = 64 << 10
	sentBuffered = 64 << 10 // bytes of a body in the send buffer to a backend server
)

// ReadBody reads the body of a request, of at most limit bytes, into reserved memory. The error is a *memory.RefusedError, in
// which case the rest of the body is not read, or an *http.MaxBytesError, or that of the connection.
func (q *Request) ReadBody(w http.ResponseWriter, r *http.Request, limit int64) (Body, error) {
	if r.ContentLength > limit {
		return Body{}, &http.MaxBytesError{Limit: limit}
	}
	b := Body{}
	if q.conn == nil {
		err := b.read(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, func(int64) error { return nil })
		return b, err
	}
	c := q.conn
	reserve := func(n int64) error { return c.holder.Reserve(c.listener.Now(), memory.Bodies, n) }
	// The whole length is reserved before any of it is read, so that the bodies that are let in can be completed.
	declared := max(0, r.ContentLength)
	if err := reserve(declared + min(declared, sentBuffered)); err != nil {
		return b, err
	}
	restore := func() {}
	if declared > pieceBytes {
		restore = c.enlargeReceiveBuffer()
	}
	isEnlarged := false
	err := b.read(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, func(n int64) error {
		if declared > 0 {
			return nil
		}
		if b.size > pieceBytes && !isEnlarged {
			isEnlarged = true
			restore = c.enlargeReceiveBuffer()
		}
		return reserve(n)
	})
	restore()
	r.Trailer = nil // it is not passed on, and net/http keeps up to 4 KB of short lines
	if err == nil {
		err = c.endBody()
	}
	return b, err
}

// Refuse logs that a request is refused for memory.
func (q *Request) Refuse(id string, err error) {
	if q.conn != nil {
		q.conn.listener.logRefusal(q.conn, id, err)
	}
}

// IsRefused reports whether an error is a refusal for memory.
func IsRefused(err error) bool {
	var refused *memory.RefusedError
	return errors.As(err, &refused)
}

// Body is the body of a request, held in pieces so that it is never copied to grow.
type Body struct {
	pieces [][]byte
	size   int64
}

// BodyOf returns a body that holds b.
func BodyOf(b []byte) Body { return Body{pieces: [][]byte{b}, size: int64(len(b))} }

// Size returns the length of the body.
func (b Body) Size() int64 { return b.size }

// WriteTo writes the body to w.
func (b Body) WriteTo(w io.Writer) (int64, error) {
	var written int64
	for _, piece := range b.pieces {
		n, err := w.Write(piece)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Reader returns a reader of the body.
func (b Body) Reader() io.Reader { return &bodyReader{pieces: b.pieces} }

type bodyReader struct {
	pieces [][]byte
	offset int // in the first piece
}

func (r *bodyReader) Read(p []byte) (int, error) {
	for len(r.pieces) > 0 && r.offset == len(r.pieces[0]) {
		r.pieces, r.offset = r.pieces[1:], 0
	}
	if len(r.pieces) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.pieces[0][r.offset:])
	r.offset += n
	return n, nil
}

// read reads the body. length is -1 if it is not declared. reserve is called before memory is taken.
func (b *Body) read(source io.Reader, length int64, reserve func(int64) error) error {
	size := int64(firstPiece)
	for {
		if length >= 0 {
			size = max(1, min(pieceBytes, length-b.size)) // the last byte is for the end of the body
		}
		if err := reserve(size); err != nil {
			return err
		}
		piece := make([]byte, size)
		n, err := Fill(source, piece)
		if n > 0 {
			b.pieces = append(b.pieces, piece[:n])
			b.size += int64(n)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		size = pieceBytes
	}
}

// Fill reads until p is full or the source ends. Unlike io.ReadFull, it returns the error of the source, so that a body that
// was cut off differs from one that ends.
func Fill(source io.Reader, p []byte) (int, error) {
	n := 0
	for n < len(p) {
		m, err := source.Read(p[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}
