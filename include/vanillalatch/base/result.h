// Result<T>: the return type of factory functions. It holds a value or an
// Error.
//
//   Result<Settings> settings = Settings::Parse(text);
//   if (!settings.ok()) return settings.error().kind();
//   Use(*settings);
//
// value(), operator* and operator-> of a failed result throw its Error. error()
// may only be called if ok() is false.
#ifndef VANILLALATCH_BASE_RESULT_H_
#define VANILLALATCH_BASE_RESULT_H_

#include <utility>
#include <variant>

#include "vanillalatch/base/error.h"

namespace vanillalatch {

template <typename T>
class [[nodiscard]] Result {
 public:
  // Implicit, so that a factory can return a value or an Error directly.
  // NOLINTNEXTLINE(google-explicit-constructor)
  Result(T value) : state_(std::move(value)) {}
  // NOLINTNEXTLINE(google-explicit-constructor)
  Result(Error error) : state_(std::move(error)) {}

  bool ok() const { return std::holds_alternative<T>(state_); }

  const Error& error() const { return std::get<Error>(state_); }

  T& value() & {
    ThrowIfError();
    return std::get<T>(state_);
  }
  const T& value() const& {
    ThrowIfError();
    return std::get<T>(state_);
  }
  T&& value() && {
    ThrowIfError();
    return std::get<T>(std::move(state_));
  }

  T& operator*() { return value(); }
  const T& operator*() const { return value(); }
  T* operator->() { return &value(); }
  const T* operator->() const { return &value(); }

 private:
  void ThrowIfError() const {
    if (!ok()) {
      throw error();
    }
  }

  std::variant<T, Error> state_;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_BASE_RESULT_H_
