// Package crowd holds tests in which callers misbehave in number. A daemon runs as a process of its own, and a crowd of
// connections sends or reads what no caller should: bodies that stop before their end, bodies beyond the limit, heads of
// very many fields, requests pipelined without reading the responses, and all of it slowly or half.
//
// The tests check what does not depend on speed: that the process lives, that its memory and descriptors stay under a
// bound, and that an ordinary request is answered afterwards.
package crowd
