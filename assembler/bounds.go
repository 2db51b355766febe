package assembler

const (
	// reservedDescriptors of a host's descriptors are for files, as the platform states.
	reservedDescriptors = 200
	// controlDivisor is the share of the other descriptors that is kept for peers, the store, readiness checks
	// and metrics: a tenth, and minControlDescriptors at least.
	controlDivisor        = 10
	minControlDescriptors = 20
	// connectionMemoryFraction is the fraction of the memory limit that connections of callers may use, with
	// connectionBytes for each: buffers and stacks of the HTTP library, a request head of the largest size,
	// and the connection to a target. Bodies and responses are counted apart.
	connectionMemoryFraction = 0.25
	connectionBytes          = 40 << 10
	// callMemoryFraction is the fraction of the memory limit that request bodies may use, and also
	// that of responses. The rest is for the process itself and for memory that is not collected yet.
	callMemoryFraction = 0.15
	// smallBodyMemoryFraction and smallResponseMemoryFraction are the same for bodies and for responses of up to
	// 32 KB. Bodies are kept until their calls end, while most responses pass through.
	smallBodyMemoryFraction     = 0.1
	smallResponseMemoryFraction = 0.05
	// historyWorkFraction is the fraction of the memory limit for reading and writing turns, historyLendFraction
	// that for sending them to peers.
	historyWorkFraction = 0.06
	historyLendFraction = 0.03
	// programMemoryFraction is the fraction of the memory limit for the budgets of programs, with their names.
	programMemoryFraction = 0.04
	// queueMemoryFraction is the fraction of the memory limit for bytes that wait in the system's buffers of
	// callers' connections.
	queueMemoryFraction = 0.1
	// minConnections is the least number of connections of callers.
	minConnections = 16
)

// bounds are the limits of a daemon that follow from the limits of its host.
type bounds struct {
	// CallerConnections and TargetConnections bound the open connections; 0 means no bound.
	CallerConnections int
	TargetConnections int
	// CallBytes bounds the memory of bodies, and that of responses, SmallBodyBytes and SmallResponseBytes that of
	// those of up to 32 KB.
	CallBytes          int64
	SmallBodyBytes     int64
	SmallResponseBytes int64
	// HistoryWorkBytes bounds the memory for reading and writing turns, HistoryLendBytes that for sending them to
	// peers.
	HistoryWorkBytes int64
	HistoryLendBytes int64
	// ProgramBytes bounds the memory of the budgets of programs.
	ProgramBytes int
	// QueuedBytes bounds the bytes in the system's buffers of callers' connections.
	QueuedBytes int
}

// hostBounds returns the bounds on a host with the memory limit and the number of descriptors, 0 if that is
// unknown. A call takes a connection of its caller and at most one to a target at a time, so that both get the
// same number of descriptors.
func hostBounds(memoryBytes int64, descriptors int) bounds {
	b := bounds{
		CallerConnections:  max(minConnections, int(connectionMemoryFraction*float64(memoryBytes)/connectionBytes)),
		CallBytes:          int64(callMemoryFraction * float64(memoryBytes)),
		SmallBodyBytes:     int64(smallBodyMemoryFraction * float64(memoryBytes)),
		SmallResponseBytes: int64(smallResponseMemoryFraction * float64(memoryBytes)),
		HistoryWorkBytes:   int64(historyWorkFraction * float64(memoryBytes)),
		HistoryLendBytes:   int64(historyLendFraction * float64(memoryBytes)),
		ProgramBytes:       int(programMemoryFraction * float64(memoryBytes)),
		QueuedBytes:        int(queueMemoryFraction * float64(memoryBytes)),
	}
	if descriptors == 0 {
		return b
	}
	sockets := descriptors - reservedDescriptors
	sockets -= max(minControlDescriptors, sockets/controlDivisor)
	b.TargetConnections = max(minConnections, sockets/2)
	b.CallerConnections = min(b.CallerConnections, b.TargetConnections)
	return b
}
