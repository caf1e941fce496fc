package membership

// majority returns the smallest size at which any two groups of n processes have a member
// in common.
func majority(n int) int {
	return n/2 + 1
}

// Blocking returns the size of a blocking set: the smallest number of n processes that has
// a member in common with every majority of them. Every majority knows of a change that so
// many processes have acknowledged.
func Blocking(n int) int {
	return n - majority(n) + 1
}
