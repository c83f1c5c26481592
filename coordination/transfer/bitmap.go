package transfer

// bitsPerByte is the number of chunks that one byte of a bitmap covers.
const bitsPerByte = 8

// Bitmap has bit i%8 of byte i/8 set when chunk i is held.
type Bitmap []byte

// Has reports whether chunk index is held. An index past the end is not held.
func (b Bitmap) Has(index int) bool {
	byteIndex := index / bitsPerByte
	return index >= 0 && byteIndex < len(b) && b[byteIndex]&(1<<(index%bitsPerByte)) != 0
}

// count returns how many of the first total chunks are held.
func (b Bitmap) count(total int) int {
	held := 0
	for i := range total {
		if b.Has(i) {
			held++
		}
	}
	return held
}

// without returns a copy of b with the bit of chunk index cleared.
func (b Bitmap) without(index int) Bitmap {
	cleared := append(Bitmap(nil), b...)
	if byteIndex := index / bitsPerByte; byteIndex < len(cleared) {
		cleared[byteIndex] &^= 1 << (index % bitsPerByte)
	}
	return cleared
}
