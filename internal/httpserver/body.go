package httpserver

import (
	"errors"
	"io"

	"github.com/valyala/fasthttp"
)

// firstBodyBytes is the size of the first buffer for a body. What a header announces is not
// allocated before it arrives.
const firstBodyBytes = 16 << 10

// readBody reads the body of a request, which the handler then gets from ctx. It charges the buffer
// before it is allocated. If it fails, it returns the status of the response.
func (s *Server) readBody(ctx *fasthttp.RequestCtx, c *conn) (status int, err error) {
	stream := ctx.RequestBodyStream()
	if stream == nil || s.cfg.MaxBodyBytes == nil {
		return 0, nil
	}
	limit, length := s.cfg.MaxBodyBytes(), ctx.Request.Header.ContentLength()
	if length > limit {
		ctx.SetConnectionClose()
		return fasthttp.StatusRequestEntityTooLarge, fasthttp.ErrBodyTooLarge
	}
	most := length
	if length < 0 {
		// One byte more shows that the body is too large.
		most = limit + 1
	}
	first := min(most, firstBodyBytes)
	if !s.charge(c, c.header+int64(first)) {
		return fasthttp.StatusServiceUnavailable, errNoRoom
	}
	body := make([]byte, 0, first)
	for {
		if len(body) == cap(body) && len(body) < most {
			grown := min(2*cap(body), most)
			// Both buffers exist until the garbage collector frees the old one.
			if !s.charge(c, c.header+int64(grown+cap(body))) {
				return fasthttp.StatusServiceUnavailable, errNoRoom
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > limit:
			ctx.SetConnectionClose()
			return fasthttp.StatusRequestEntityTooLarge, fasthttp.ErrBodyTooLarge
		case err == nil && len(body) == length, errors.Is(err, io.EOF) && len(body) >= length:
			ctx.Request.SetBodyRaw(body)
			return 0, nil
		case err != nil:
			ctx.SetConnectionClose()
			return fasthttp.StatusBadRequest, err
		}
	}
}
