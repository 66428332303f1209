// Package buffers provides a pool of equally sized buffers, and byte sequences that are stored in them.
package buffers

import "sync"

// Pool is a pool of reusable buffers that all have the same capacity.
type Pool struct {
	size int // bytes of each buffer
	free sync.Pool
}

// NewPool returns a pool of buffers with a capacity of size bytes.
func NewPool(size int) *Pool {
	p := &Pool{size: size}
	p.free.New = func() any { b := make([]byte, 0, size); return &b }
	return p
}

// Get returns an empty buffer.
func (p *Pool) Get() *[]byte { return p.free.Get().(*[]byte) }

// Put returns a buffer to the pool. A buffer that has grown beyond its original capacity is left to the garbage
// collector.
func (p *Pool) Put(b *[]byte) {
	if cap(*b) != p.size {
		return
	}
	*b = (*b)[:0]
	p.free.Put(b)
}

// Chain is a sequence of bytes that is stored in as many pool buffers as it needs. A nil Chain is empty and can be
// read and freed.
type Chain struct {
	pool  *Pool
	parts []*[]byte
	size  int // bytes in the chain
}

// NewChain returns an empty chain whose buffers come from the pool.
func (p *Pool) NewChain() *Chain { return &Chain{pool: p} }

// Add appends a copy of b to the chain.
func (c *Chain) Add(b []byte) {
	c.size += len(b)
	for len(b) > 0 {
		if len(c.parts) == 0 || len(*c.parts[len(c.parts)-1]) == c.pool.size {
			c.parts = append(c.parts, c.pool.Get())
		}
		last := c.parts[len(c.parts)-1]
		n := min(len(b), c.pool.size-len(*last))
		*last = append(*last, b[:n]...)
		b = b[n:]
	}
}

// Len returns the number of bytes in the chain.
func (c *Chain) Len() int {
	if c == nil {
		return 0
	}
	return c.size
}

// Held returns the number of bytes that the chain's buffers occupy.
func (c *Chain) Held() int {
	if c == nil {
		return 0
	}
	return len(c.parts) * c.pool.size
}

// AppendTo appends the chain's bytes to b.
func (c *Chain) AppendTo(b []byte) []byte {
	if c == nil {
		return b
	}
	for _, part := range c.parts {
		b = append(b, *part...)
	}
	return b
}

// Free returns the buffers to the pool and leaves the chain empty.
func (c *Chain) Free() {
	if c == nil {
		return
	}
	for _, part := range c.parts {
		c.pool.Put(part)
	}
	c.parts, c.size = nil, 0
}
