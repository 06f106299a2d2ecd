// Package bounded reads input whose length others have announced, with memory in proportion to what has come
// of it.
package bounded

// This file defines Read and ReadWithin.

import "io"

const firstBytes = 64 << 10 // room before any of the input has come

// Read reads n bytes. If the input ends before, it returns what has come with io.EOF or io.ErrUnexpectedEOF.
func Read(r io.Reader, n int64) ([]byte, error) {
	return ReadWithin(r, n, func(int64) error { return nil })
}

// ReadWithin is Read, and calls reserve with the number of further bytes before it makes room for them. It returns the error
// of reserve.
func ReadWithin(r io.Reader, n int64, reserve func(more int64) error) ([]byte, error) {
	var data []byte
	for int64(len(data)) < n {
		had := len(data)
		more := int(min(n-int64(had), max(firstBytes, int64(had))))
		if err := reserve(int64(more)); err != nil {
			return data, err
		}
		data = append(make([]byte, 0, had+more), data...)[:had+more]
		got, err := io.ReadFull(r, data[had:])
		if data = data[:had+got]; err != nil {
			return data, err
		}
	}
	return data, nil
}
