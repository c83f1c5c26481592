package transfer

// bitsPerByte is the number of chunks that one byte of a bitmap covers.
const bitsPerByte = 8

// Bitmap has bit i%8 of byte i/8 set when chunk i is held.
type Bitmap []byte

// Has reports whether chunk index is held; an index past the end is not.
func (b Bitmap) Has(index int) bool {
	at := index / bitsPerByte
	return index >= 0 && at < len(b) && b[at]&(1<<(index%bitsPerByte)) != 0
}

// count returns the number of the first total chunks that are held.
func (b Bitmap) count(total int) int {
	n := 0
	for i := range total {
		if b.Has(i) {
			n++
		}
	}
	return n
}

// without returns a copy of b in which chunk index is not held.
func (b Bitmap) without(index int) Bitmap {
	out := append(Bitmap(nil), b...)
	if at := index / bitsPerByte; at < len(out) {
		out[at] &^= 1 << (index % bitsPerByte)
	}
	return out
}
