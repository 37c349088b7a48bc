#include "models.h"

int main() {
  bench::measureQueues();
  bench::measureCeilings();
  return 0;
}
