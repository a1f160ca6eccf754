package plat

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

// Answer writes a value as JSON.
func Answer(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}

// Refuse writes an error as JSON.
func Refuse(writer http.ResponseWriter, status int, format string, args ...any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	message := map[string]string{"message": fmt.Sprintf(format, args...)}
	_ = json.NewEncoder(writer).Encode(map[string]any{"error": message})
}

// RefuseFor is Refuse with the time after which to come back.
func RefuseFor(writer http.ResponseWriter, status int, after time.Duration, format string, args ...any) {
	writer.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	Refuse(writer, status, format, args...)
}

// Decode reads a JSON body of known fields into value. If it cannot, it refuses
// the request and returns false.
func Decode(writer http.ResponseWriter, request *http.Request, value any) bool {
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
		Refuse(writer, http.StatusRequestEntityTooLarge, "body above %d bytes", tooLarge.Limit)
		return false
	}
	Refuse(writer, http.StatusBadRequest, "body of %s %s: %v", request.Method, request.URL.Path, err)
	return false
}

// Cut ends the request without an answer and closes its connection.
func Cut() { panic(http.ErrAbortHandler) }

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
