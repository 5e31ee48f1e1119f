#pragma once
// Shared ownership by intrusive reference counting.

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace daisydrift {

/// Base class of objects with an atomic intrusive reference count.
template<typename T>
using RefCounted = boost::intrusive_ref_counter<T, boost::thread_safe_counter>;

/// Owning pointer to a RefCounted object.
template<typename T>
using Ref = boost::intrusive_ptr<T>;

template<typename T, typename... Arguments>
Ref<T> MakeRef(Arguments&&... aArguments)
{
  return Ref<T>(new T(std::forward<Arguments>(aArguments)...));
}

} // namespace daisydrift
