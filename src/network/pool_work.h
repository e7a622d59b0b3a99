/// @file pool_work.h Execution of a function in a thread pool.
#ifndef NETWORK_POOL_WORK_H_
#define NETWORK_POOL_WORK_H_

#include <functional>

namespace Poco {
class ThreadPool;
}

namespace fuchsiafall {

/// Runs work in a thread of the pool, without waiting for it.
/// @return Whether a thread was free; if not, the work is dropped.
bool StartWork(Poco::ThreadPool* pool, std::function<void()> work);

}  // namespace fuchsiafall

#endif  // NETWORK_POOL_WORK_H_
