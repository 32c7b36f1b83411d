#include "coltsfoottide/link/link_hub.h"
