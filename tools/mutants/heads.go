package main

// headMutants break the bounds on what is read of servers.
func headMutants() []mutant {
	in := breaking("link/backendlink", "Head|Bodies|Interim")
	return []mutant{
		in("head.go", "heads: read heads of any size", "	if r.cost > maxHeadCost {\n", "	if false {\n"),
		in("head.go", "heads: count no lines", "headLineCost*int64(bytes", "0*headLineCost*int64(bytes"),
		in("head.go", "heads: let the heads of all answers take all memory", "	if !r.quota.tryReserve(more) {\n", "	if false {\n"),
		in("pool.go", "heads: keep the memory of heads reserved", "	c.head.release()\n	p.mu.Lock()\n", "	p.mu.Lock()\n"),
		in("pool.go", "heads: take an interim answer for the final one", "response.StatusCode >= http.StatusOK ||", "true ||"),
	}
}
