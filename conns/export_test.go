package conns

// WaitForWrites waits for the writes of all long requests to end.
func (p *Pool) WaitForWrites() { _ = p.group.Wait() } // Writes return no errors.
