package faults

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// booking is the JSON body of a booking request.
type booking struct {
	Booking string
}

// bookingResponse is the response of a stand-in service. It echoes the request.
type bookingResponse struct {
	Body string
	Path string
}

// bookingContent returns the JSON body by which the stand-in services record the booking.
func bookingContent(id string) string {
	payload, err := json.Marshal(booking{Booking: id})
	if err != nil {
		return id
	}
	return string(payload)
}

// book sends a booking to an entry host. A keyed booking carries its ID as idempotency key.
func (c *caller) book(ctx context.Context, h *entryHost, id string, kind exchangeKind) exchange {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	key := ""
	if kind == kindKeyedBooking {
		key = id
	}
	x := exchange{kind: kind, content: bookingContent(id), host: h.name, begin: time.Now()}
	a := postJSON(ctx, "http://"+h.callerAddress+"/services/"+bookingService+"/bookings", booking{Booking: id}, key)
	x.end = time.Now()
	x.outcome = a.failure(ctx)
	if x.outcome != "" {
		x.detail = fmt.Sprintf("status %d, %v, %s", a.status, a.err, firstBytes(a.body))
		return x
	}
	x.outcome, x.detail = checkEcho(a.body, func(echo bookingResponse) bool { return echo.Body == x.content })
	return x
}

func (c *caller) read(ctx context.Context, h *entryHost, id string) exchange {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	x := exchange{kind: kindRead, content: id, host: h.name, begin: time.Now()}
	req, err := http.NewRequest(http.MethodGet, "http://"+h.callerAddress+"/services/"+bookingService+"/stock/"+id, nil)
	if err != nil {
		x.detail = err.Error()
		return x
	}
	a := send(ctx, req)
	x.end = time.Now()
	x.outcome = a.failure(ctx)
	if x.outcome != "" {
		x.detail = fmt.Sprintf("status %d, %v, %s", a.status, a.err, firstBytes(a.body))
		return x
	}
	x.outcome, x.detail = checkEcho(a.body, func(echo bookingResponse) bool { return echo.Path == "/stock/"+id })
	return x
}

// checkEcho checks that a response echoes the caller's own request.
func checkEcho(body []byte, isOwn func(bookingResponse) bool) (outcome, string) {
	var echo bookingResponse
	if json.Unmarshal(body, &echo) != nil || !isOwn(echo) {
		return outcomeWrong, "got " + firstBytes(body)
	}
	return outcomeComplete, ""
}
