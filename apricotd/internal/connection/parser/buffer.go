package parser

// A buffer holds a body that is being received, and reserves memory for it.
type buffer struct {
	bytes    []byte
	memory   Memory // nil if unlimited
	lasting  bool   // memory is a LastingMemory
	reserved int
}

// begin allocates the first part. It returns false if there is no memory for it.
func (b *buffer) begin(n int) bool {
	lasting, ok := b.memory.(LastingMemory)
	if ok {
		if !lasting.ReserveFirst(n) {
			return false
		}
		b.lasting, b.reserved = true, n
	}
	b.bytes = make([]byte, 0, n)
	return true
}

// grow moves the data to a buffer of n bytes. It returns false if there is no memory
// for that. A lasting memory counts the old buffer and the new one while there are both.
func (b *buffer) grow(n int) bool {
	extra := n - max(b.reserved, unreservedBytes)
	if b.lasting {
		extra = n
	}
	if b.memory != nil && extra > 0 {
		if !b.memory.Reserve(extra) {
			return false
		}
		b.reserved += extra
	}
	old := b.bytes
	b.bytes = append(make([]byte, 0, n), old...)
	if b.lasting {
		b.memory.Release(cap(old))
		b.reserved -= cap(old)
	}
	return true
}

// end releases what is reserved, unless the body is complete and its memory lasting.
func (b *buffer) end(complete bool) {
	if b.reserved > 0 && (!b.lasting || !complete) {
		b.memory.Release(b.reserved)
	}
}
