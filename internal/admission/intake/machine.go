package intake

// This file divides what a machine has.

const (
	requestDivisor  = 5         // part of the memory that requests may take
	connShare       = 0.15      // of the memory, that connections may take
	connBytes       = 20 << 10  // memory of a connection without a request
	reservedFiles   = 200       // descriptors that are no connections
	callerDivisor   = 2         // part of the descriptors for callers; the others are for endpoints, instances and the store
	defaultMemory   = 320 << 20 // of a machine that does not tell its own
	defaultFiles    = 4096
	minRequestBytes = 4 << 20
	minConns        = 16
)

// Machine is what a process may use. Zero stands for unknown.
type Machine struct {
	MemoryBytes int64
	Files       int // descriptors
}

// RequestBytes returns the memory that requests may take.
func (m Machine) RequestBytes() int64 {
	return max(minRequestBytes, m.memory()/requestDivisor)
}

// CallerConns returns the number of connections that callers may have.
func (m Machine) CallerConns() int {
	files := m.Files
	if files <= 0 {
		files = defaultFiles
	}
	byMemory := int(connShare * float64(m.memory()) / connBytes)
	return max(minConns, min((files-reservedFiles)/callerDivisor, byMemory))
}

func (m Machine) memory() int64 {
	if m.MemoryBytes <= 0 {
		return defaultMemory
	}
	return m.MemoryBytes
}
