// Package httpjson gets JSON documents over HTTP.
package httpjson

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
)

// StatusError reports a response whose HTTP status is not 200.
type StatusError struct {
	URL    string
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("%s: status %d", e.URL, e.Status) }

// Get gets the document at a path of an address and decodes it into v, which must be
// a pointer. It fails after timeout, and with a *StatusError if the status of the
// response is not 200.
func Get(address, path string, timeout time.Duration, v any) error {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	url := "http://" + address + path
	req.SetRequestURI(url)
	if err := fasthttp.DoTimeout(req, res, timeout); err != nil {
		return fmt.Errorf("get %s: %w", url, err)
	}
	if res.StatusCode() != fasthttp.StatusOK {
		return &StatusError{url, res.StatusCode()}
	}
	if err := json.Unmarshal(res.Body(), v); err != nil {
		return fmt.Errorf("get %s: %w", url, err)
	}
	return nil
}
