package main

import "olivedale/internal/lab/together"

// This file is left out where the program is built round a commit that has no internal/overload.
func init() { sharing = together.Start }
