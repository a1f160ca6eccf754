package order

// MaxWeight is the weight of the most urgent requests.
const MaxWeight = 64

// Weight returns the weight of a waiting request in the choice of the next
// adapter: half as much for each level of its priority, and a part less for each
// one of its route's.
func Weight(priority, routePriority int) int {
	weight := MaxWeight >> max(priority, 0)
	return max(weight-weight*min(max(routePriority, 0), routeLevels-1)/(2*routeLevels), 1)
}
