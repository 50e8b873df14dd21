package loopback

import (
	"fmt"
	"math/rand/v2"
)

// RandomHost returns a random loopback address. With an address per run, concurrent runs do not take each other's
// ports.
func RandomHost() string {
	host := rand.Uint32()
	return fmt.Sprintf("127.%d.%d.%d", 64+host%128, host>>8%256, 1+host>>16%250)
}
