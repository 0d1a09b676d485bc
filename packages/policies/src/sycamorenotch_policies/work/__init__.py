"""Estimates of the work at each worker, and the choice of a worker by them."""
