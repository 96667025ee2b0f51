#include <soak/soak_error.h>

G_DEFINE_QUARK(soak - error - quark, soak_error)
