package hangup

// #include <signal.h>
//
// __attribute__((constructor)) static void ignore_hangups(void) { signal(SIGHUP, SIG_IGN); }
import "C"
