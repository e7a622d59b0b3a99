# Functions that install packages and build; sourced by the other scripts.
set -eu
cd "$(dirname "${BASH_SOURCE[0]}")/.."

PACKAGES="g++ cmake ninja-build ccache clang-format clang-tidy pkg-config \
libpoco-dev libzmq3-dev cppzmq-dev libprotobuf-dev protobuf-compiler \
libboost-dev libboost-program-options-dev libboost-test-dev libeasyloggingpp-dev \
librapidcheck-dev libxxhash-dev rapidjson-dev libssl-dev"

install_packages() {
  local missing=""
  for package in $PACKAGES; do
    dpkg -s "$package" >/dev/null 2>&1 || missing="$missing $package"
  done
  [ -z "$missing" ] && return 0
  echo ".. installing$missing"
  apt-get update -qq
  # shellcheck disable=SC2086
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing >/dev/null
}

build() {
  echo ".. building"
  cmake -G Ninja -B build -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
  ninja -C build --quiet "$@"
}
