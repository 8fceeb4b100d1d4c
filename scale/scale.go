// Package scale measures what control costs at sizes far above today's, so that
// docs/CAPACITY.md rests on slopes and not on hopes. It holds benchmarks only;
// each one of them is named in a row of that page.
package scale
