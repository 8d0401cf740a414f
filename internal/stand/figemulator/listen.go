package figemulator

import (
	"encoding/json"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

// endpoint is an HTTP server on a given address or a free loopback port.
type endpoint struct {
	listener net.Listener
	server   *http.Server
}

func listen(address string, h http.Handler) (*endpoint, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	e := &endpoint{listener: l, server: &http.Server{Handler: h}}
	go func() { _ = e.server.Serve(l) }()
	return e, nil
}

// Address returns the host and port that the emulator listens on.
func (e *endpoint) Address() string { return e.listener.Addr().String() }

// Close stops the emulator and closes all its connections immediately.
func (e *endpoint) Close() error { return e.server.Close() }

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// apiError is the error object in an engine's response.
type apiError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, map[string]apiError{
		"error": {Message: message, Type: "engineError", Code: code},
	})
}

// dropConnection closes the caller's connection without an answer.
func dropConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = conn.Close()
}
