package order

// MaxWeight is the weight of the most urgent requests.
const MaxWeight = 64

// Weight returns the weight of a waiting request in the choice of the next
// adapter: half as much for each level of its priority.
func Weight(priority int) int {
	return max(MaxWeight>>max(priority, 0), 1)
}
