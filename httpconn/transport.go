package httpconn

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport sends HTTP/1 requests without TLS through an http.Transport. It fails a request if the head of its response is
// malformed or was received before the request was sent.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a transport that takes over base: its dialer is wrapped, and heads are limited to 64 KB unless base
// limits them. closed is called once for each connection that is closed and may be nil.
func NewTransport(base *http.Transport, closed func()) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return New(raw, closed), nil
	}
	if base.MaxResponseHeaderBytes == 0 {
		base.MaxResponseHeaderBytes = maxHeadBytes
	}
	return &Transport{base: base}
}

// DefaultClient is an http.Client with a Transport that has the settings of http.DefaultTransport otherwise.
var DefaultClient = &http.Client{Transport: NewTransport(http.DefaultTransport.(*http.Transport).Clone(), nil)}

// RoundTrip sends the request and returns the response, or a *MalformedHeadError besides the errors of http.Transport.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var conn *Conn
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn = info.Conn.(*Conn) // base has no TLS
			conn.Begin()
		},
	}
	response, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := conn.CheckHead(request.URL.Host, response.StatusCode); err != nil {
		conn.Close()
		response.Body.Close()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
