// Package web contains the helpers with which the stand-ins read and write JSON over HTTP.
//
// # Usage
//
//	web.Write(w, http.StatusOK, answer)
//	web.WriteError(w, http.StatusConflict, "fenced", "fencing token is 3, must be at least 5")
package web

import (
	"encoding/json"
	"io"
	"net"
	"net/http"

	"github.com/knapweedpulley/knapweedpulley/settings"
)

// maxControlBody bounds the body of a call that changes a stand-in's behavior, in bytes.
const maxControlBody = 64 << 10

// ErrorBody is the body of a response that reports an error.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error.
type ErrorDetail struct {
	Message string `json:"message"`
	Code    string `json:"code"`
}

// Write writes a response with a status and a JSON value.
func Write(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n'))
}

// WriteError writes a response with a status and an error body.
func WriteError(w http.ResponseWriter, status int, code, message string) {
	Write(w, status, ErrorBody{Error: ErrorDetail{Message: message, Code: code}})
}

// Read decodes the body of a call that changes a stand-in's behavior. If the body is
// invalid, it responds with 400 and returns false.
func Read(w http.ResponseWriter, r *http.Request, v any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxControlBody))
	if err == nil {
		err = settings.Decode(body, v)
	}
	if err != nil {
		WriteError(w, http.StatusBadRequest, "invalidRequest", err.Error())
		return false
	}
	return true
}

// Reset closes the connection of a request with a TCP reset where it can.
// The handler must return afterwards.
func Reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
