package artefactapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"syscall"

	"fawncove/internal/artefacts/archive"
	"fawncove/internal/artefacts/artefact"
)

// What a refused request is told, and with which status.

// Problem is what a refused request is told.
type Problem struct {
	Error string `json:"error"`
	Code  string `json:"code,omitempty"` // of what is wrong with records
}

// codes are the errors that other instances and writers have to tell apart.
var codes = []struct {
	code string
	err  error
}{
	{"conflict", archive.ErrConflict},
	{"pruned", archive.ErrPruned},
	{"missing", archive.ErrMissing},
	{"too_large", artefact.ErrTooLarge},
	{"invalid", artefact.ErrInvalid},
	{"full", syscall.ENOSPC},
}

func codeOf(err error) string {
	for _, c := range codes {
		if errors.Is(err, c.err) {
			return c.code
		}
	}
	return ""
}

// statusError is an error with the status that it is answered with.
type statusError struct {
	status int
	err    error
}

func (e *statusError) Error() string { return e.err.Error() }
func (e *statusError) Unwrap() error { return e.err }

func refuse(status int, format string, args ...any) error {
	return &statusError{status, fmt.Errorf(format, args...)}
}

// statusOf tells how an error is answered.
func statusOf(err error) int {
	var s *statusError
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &s):
		return s.status
	case errors.Is(err, artefact.ErrTooLarge), errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, artefact.ErrInvalid):
		return http.StatusBadRequest
	case errors.Is(err, archive.ErrConflict), errors.Is(err, archive.ErrPruned), errors.Is(err, archive.ErrMissing):
		return http.StatusConflict
	case errors.Is(err, syscall.ENOSPC), errors.Is(err, syscall.EDQUOT):
		return http.StatusInsufficientStorage
	}
	return http.StatusServiceUnavailable
}

func (s *Server) fail(w http.ResponseWriter, r *http.Request, err error) {
	status := statusOf(err)
	if s.opt.Metrics != nil {
		s.opt.Metrics.refused.WithLabelValues(strconv.Itoa(status)).Inc()
	}
	if status >= 500 {
		s.opt.Log.Warn("request failed", "path", r.URL.Path, "status", status, "err", err)
		w.Header().Set("Retry-After", "1")
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(Problem{err.Error(), codeOf(err)}) // whoever asked may be gone
}
