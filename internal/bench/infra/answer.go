package infra

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// maxMessage bounds the JSON bodies that stand-ins accept.
const maxMessage = 4 << 20

// WriteJSON writes a value as JSON.
func WriteJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}

// WriteError writes an error as JSON.
func WriteError(writer http.ResponseWriter, status int, format string, args ...any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	message := map[string]string{"message": fmt.Sprintf(format, args...)}
	_ = json.NewEncoder(writer).Encode(map[string]any{"error": message})
}

// WriteRetryableError is Refuse with the time after which to come back.
func WriteRetryableError(writer http.ResponseWriter, status int, after time.Duration, format string, args ...any) {
	writer.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	WriteError(writer, status, format, args...)
}

// DecodeJSON reads a JSON body of known fields into value. If it cannot, it refuses
// the request and returns false.
func DecodeJSON(writer http.ResponseWriter, request *http.Request, value any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxMessage))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(value)
	if err == nil {
		if _, err = decoder.Token(); errors.Is(err, io.EOF) {
			return true
		}
		err = errors.New("more than one value")
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		WriteError(writer, http.StatusRequestEntityTooLarge, "body above %d bytes", tooLarge.Limit)
		return false
	}
	WriteError(writer, http.StatusBadRequest, "body of %s %s: %v", request.Method, request.URL.Path, err)
	return false
}

// AbortConnection ends the request without an answer and closes its connection.
func AbortConnection() { panic(http.ErrAbortHandler) }

// Pause waits and reports whether the whole time passed before the request ended.
func Pause(request *http.Request, duration time.Duration) bool {
	if duration <= 0 {
		return request.Context().Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-request.Context().Done():
		return false
	}
}
