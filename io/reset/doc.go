// Package reset makes the reader of a connection see that it was reset.
//
// A socket reports its failure once, to the read or the write that comes next. A reader that comes after a write gets the bytes that
// arrived before and then the end of the stream, as if the other end had closed the connection in an orderly way. An HTTP answer
// without a length, which ends with its connection, then looks complete.
package reset
