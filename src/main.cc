/// @file main.cc Entry point of the fuchsiafall binary.
#include "operator_cmd.h"

int main(int argc, char** argv) {
  fuchsiafall::BlockSignals();
  return static_cast<int>(fuchsiafall::RunCommand(argc, argv));
}
