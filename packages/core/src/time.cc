#include "coltsfoottide/core/time.h"
