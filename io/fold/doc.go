// Package fold finds folded lines in the heads of HTTP/1 answers.
//
// A line that begins with a blank continues the value of the line before. HTTP has withdrawn that, and a gateway may reject an answer
// with such a line (RFC 9112, section 5.2). The client of net/http joins the lines, so that a field with a blank before its name, say
// one that tells where the body ends, does not count.
package fold
