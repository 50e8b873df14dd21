package adminapi

import (
	"errors"
	"net"

	"olivedale/internal/codec/h248"
)

const readBufferSize = 4096

// errStopReading is returned by a handler of readMessages to end reading without an error.
var errStopReading = errors.New("stop reading")

// readMessages reads messages from conn and calls handle for each, until handle returns an error or the connection
// fails. It returns nil if the error is errStopReading.
func readMessages(conn net.Conn, handle func(*h248.Message) error) error {
	var framer h248.Framer
	buffer := make([]byte, readBufferSize)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return err
		}
		var handleErr error
		err = framer.Feed(buffer[:n], func(text []byte) bool {
			handleErr = parseAndHandle(text, handle)
			return handleErr == nil
		})
		switch {
		case errors.Is(handleErr, errStopReading):
			return nil
		case handleErr != nil:
			return handleErr
		case err != nil:
			return err
		}
	}
}

func parseAndHandle(text []byte, handle func(*h248.Message) error) error {
	m, err := h248.Parse(text)
	if err != nil {
		return err
	}
	return handle(m)
}
