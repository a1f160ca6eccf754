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

// maxBodyBytes bounds the JSON request bodies that simulators accept.
const maxBodyBytes = 4 << 20

// WriteJSON writes a value as a JSON response.
func WriteJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}

// WriteError writes an error response as JSON. The message is built from format
// and args.
func WriteError(writer http.ResponseWriter, status int, format string, args ...any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	message := map[string]string{"message": fmt.Sprintf(format, args...)}
	_ = json.NewEncoder(writer).Encode(map[string]any{"error": message})
}

// WriteRetryableError is WriteError with a Retry-After header, in seconds with
// three decimals.
func WriteRetryableError(writer http.ResponseWriter, status int, after time.Duration, format string, args ...any) {
	writer.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	WriteError(writer, status, format, args...)
}

// DecodeJSON decodes a JSON request body into value and reports whether it
// succeeded. Otherwise it has written an error response: 413 for a body above
// maxBodyBytes, 400 for malformed JSON, unknown fields or more than one value.
func DecodeJSON(writer http.ResponseWriter, request *http.Request, value any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
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

// AbortConnection ends the request without a response and closes its connection.
// It does not return: net/http recovers from its panic.
func AbortConnection() { panic(http.ErrAbortHandler) }

// Pause waits for a duration and reports whether it elapsed before the request
// was cancelled.
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
