package record

// An openSegment is the segment being written. The zero value is a closed segment.
type openSegment struct {
	file        File // nil: closed
	name        string
	size        int64  // bytes written
	durableSize int64  // bytes written and synced
	seed        uint32 // frameSeed of the segment's nonce
}

func (s *openSegment) isOpen() bool { return s.file != nil }

// write appends bytes and adds the number of bytes written to size, even after an error.
func (s *openSegment) write(b []byte) error {
	n, err := s.file.Write(b)
	s.size += int64(n)
	return err
}

// sync makes the written bytes durable.
func (s *openSegment) sync() error {
	if err := s.file.Sync(); err != nil {
		return err
	}
	s.durableSize = s.size
	return nil
}

// close closes the file if it is open. The segment is closed afterwards, even after an error.
func (s *openSegment) close() error {
	if s.file == nil {
		return nil
	}
	err := s.file.Close()
	*s = openSegment{}
	return err
}
