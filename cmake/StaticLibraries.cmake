# Links gRPC, protobuf and Abseil as archives. A process loads 50 shared libraries
# fewer then, which is most of what its start costs on a VM with a tenth of a core.
# gRPC is linked without TLS, which the VMs do not use between each other.
#
# Include this file after find_package().

set(archive_folder /usr/lib/${CMAKE_LIBRARY_ARCHITECTURE})
file(GLOB absl_archives ${archive_folder}/libabsl_*.a)
set(rpc_archives "")
foreach(name grpc++_unsecure grpc_unsecure gpr upb address_sorting re2 cares protobuf)
  find_library(VL_ARCHIVE_${name} lib${name}.a REQUIRED)
  list(APPEND rpc_archives ${VL_ARCHIVE_${name}})
endforeach()

# Points every shared library of a package to its archive. Dependencies between
# the archives are left to the linker group below.
get_directory_property(imported IMPORTED_TARGETS)
foreach(target ${imported})
  if(target MATCHES "^(absl|gRPC|protobuf)::")
    get_target_property(location ${target} IMPORTED_LOCATION_NONE)
    if(location)
      string(REGEX REPLACE "\\.so[0-9.]*$" ".a" archive "${location}")
      string(REGEX REPLACE "lib(grpc|grpc\\+\\+)\\.a$" "lib\\1_unsecure.a" archive "${archive}")
      set_target_properties(${target} PROPERTIES IMPORTED_LOCATION_NONE "${archive}")
    endif()
  endif()
endforeach()
set_target_properties(gRPC::grpc++ PROPERTIES INTERFACE_LINK_LIBRARIES protobuf::libprotobuf)

list(JOIN rpc_archives " " rpc_archives)
list(JOIN absl_archives " " absl_archives)
string(APPEND CMAKE_CXX_STANDARD_LIBRARIES
       " -Wl,--start-group ${rpc_archives} ${absl_archives} -Wl,--end-group")
