package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// modelName is the model that all engines hold.
const modelName = "daka510000"

// Figures of an engine.
const (
	diskLoad   = 840 * time.Millisecond // of the model, which each engine has on its disk
	streamGrip = 50 * time.Millisecond  // from a request to the first event, besides the pause between events
)

// engine is a stand-in for a model engine, whose answers are streams. It starts without a model unless it is told otherwise.
type engine struct {
	server
	events  int           // of a stream
	pause   time.Duration // between them
	isEmpty bool          // it does not hold the model at its start
	// turnsAway returns whether the engine turns requests away now, and its Retry-After; nil if it never does.
	turnsAway func() (time.Duration, bool)

	state   sync.Mutex
	holds   bool
	isBusy  bool
	ordered int64 // number of orders accepted
}

// engineService is the desired state of a service of engines.
func engineService(name string) map[string]any {
	return map[string]any{
		"name": name, "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 64, "kvCapacity": 129023, "weightSize": 230000.0, "adapterSlots": 8, "loadsPerS": 3.1,
			"models": []any{map[string]any{"name": modelName, "weightSize": 72700.0, "loadTimeS": 6.0, "adapters": 0, "adapterMb": 66.0, "warmS": 0.63, "diskLoadS": 0.84}},
		},
	}
}

// addEngine starts an engine and lists it in the store.
func (w *world) addEngine(e *engine) error {
	e.answerStream = e.stream
	e.holds = !e.isEmpty
	e.listed = e.describe
	return w.addServer(&e.server)
}

// describe returns what the entry of an engine says besides that of a plain service.
func (e *engine) describe() map[string]any {
	e.state.Lock()
	defer e.state.Unlock()
	models := []any{}
	if e.holds {
		models = append(models, map[string]any{"name": modelName, "version": 1, "adapters": []any{}})
	}
	return map[string]any{
		"stage": "both", "models": models, "sequence": e.ordered, "available": map[string]any{"inMemory": []string{}, "onDisk": []string{modelName}},
	}
}

// stream answers one request of an engine. It returns false if the connection can't be used again.
func (e *engine) stream(conn net.Conn, request *http.Request, body []byte, id string) bool {
	switch request.URL.Path {
	case "/-/report":
		return e.report(conn, id)
	case "/-/order":
		return e.order(conn, body, id)
	}
	e.state.Lock()
	holds := e.holds
	e.state.Unlock()
	if !holds {
		_, err := conn.Write(e.head(http.StatusMisdirectedRequest, id, "Not-Executed: 1\r\nInstance-Id: "+e.id+"\r\n", ""))
		return err == nil
	}
	if e.turnsAway != nil {
		if wait, isTurnedAway := e.turnsAway(); isTurnedAway {
			e.arrive(id, false)
			fields := fmt.Sprintf("Not-Executed: 1\r\nRetry-After: %.2f\r\n", wait.Seconds())
			_, err := conn.Write(e.head(http.StatusServiceUnavailable, id, fields, ""))
			return err == nil
		}
	}
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	e.places <- struct{}{}
	defer func() { <-e.places }()
	e.arrive(id, true)
	time.Sleep(streamGrip)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: %s\r\nServer-Seal: %s.%s\r\nWeight-Versions: 1\r\n%s%sTransfer-Encoding: chunked\r\n\r\n", id, e.id, id, e.limitField(), e.loadField())
	if _, err := conn.Write([]byte(head)); err != nil {
		return false
	}
	for n := after + 1; n <= e.events; n++ {
		time.Sleep(e.pause)
		event := fmt.Sprintf("id: %d\ndata: %s %s\n\n", n, e.version, e.id)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := conn.Write([]byte("0\r\n\r\n"))
	return err == nil
}

func (e *engine) report(conn net.Conn, id string) bool {
	body := e.describe()
	e.state.Lock()
	body["busy"] = e.isBusy
	e.state.Unlock()
	maps.Copy(body, map[string]any{"queued": 0, "active": len(e.places), "kvUsed": 0, "kvTotal": 129023, "handles": 0, "born": e.born})
	return e.writeJSON(conn, http.StatusOK, id, body)
}

// order carries out the order to load the model.
func (e *engine) order(conn net.Conn, body []byte, id string) bool {
	var order struct {
		OpType   string `json:"opType"`
		Expected *int64 `json:"expected"`
	}
	if err := json.Unmarshal(body, &order); err != nil {
		return e.writeJSON(conn, http.StatusBadRequest, id, map[string]any{})
	}
	e.state.Lock()
	defer e.state.Unlock()
	switch {
	case e.isBusy || order.Expected != nil && *order.Expected != e.ordered:
		return e.writeJSON(conn, http.StatusConflict, id, map[string]any{})
	case order.OpType == "load" && e.holds:
		return e.writeJSON(conn, http.StatusOK, id, map[string]any{})
	case order.OpType != "load":
		return e.writeJSON(conn, http.StatusBadRequest, id, map[string]any{})
	}
	e.isBusy = true
	e.ordered++
	time.AfterFunc(diskLoad, func() {
		e.state.Lock()
		e.isBusy, e.holds = false, true
		e.state.Unlock()
		if !e.isClosed() {
			e.list("ready")
		}
	})
	return e.writeJSON(conn, http.StatusAccepted, id, map[string]any{})
}

func (e *engine) writeJSON(conn net.Conn, status int, id string, body any) bool {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err) // the bodies are plain maps
	}
	fields := "Content-Type: application/json\r\nInstance-Id: " + e.id + "\r\n"
	_, err = conn.Write(e.head(status, id, fields, string(encoded)))
	return err == nil
}
